//! Checks of the source files, their imports and wording, and the list of tests that are known to fail.
//!
//! # Example
//!
//! ```
//! let faults = xtask::prose_faults("src/a.rs", "// As decided on 2026-01-31.\n");
//! assert_eq!(faults[0].line, 1);
//! ```

mod imports;
mod known_red;
mod prose;
mod source_fault;
mod source_files;

pub use imports::check_imports;
pub use imports::import_faults;
pub use known_red::KnownRed;
pub use known_red::KnownRedError;
pub use known_red::known_red;
pub use known_red::skip_args;
pub use prose::check_sources;
pub use prose::prose_faults;
pub use source_fault::SourceFault;

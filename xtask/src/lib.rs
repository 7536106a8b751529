//! Checks of the source files, and the list of tests that are known to fail.
//!
//! # Example
//!
//! ```
//! let faults = xtask::prose_faults("src/a.rs", "// As decided on 2026-01-31.\n");
//! assert_eq!(faults[0].line, 1);
//! ```

mod known_red;
mod prose;

pub use known_red::KnownRed;
pub use known_red::KnownRedError;
pub use known_red::known_red;
pub use known_red::skip_args;
pub use prose::ProseFault;
pub use prose::check_sources;
pub use prose::prose_faults;

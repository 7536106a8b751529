//! Checks of the sources that the chores run.
//!
//! # Example
//!
//! ```
//! let faults = xtask::prose_faults("src/a.rs", "// As decided on 2026-01-31.\n");
//! assert_eq!(faults[0].line, 1);
//! ```

mod prose;

pub use prose::ProseFault;
pub use prose::check_sources;
pub use prose::prose_faults;

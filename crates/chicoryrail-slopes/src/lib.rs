//! Measured costs per slice, server, peer and connection.
//!
//! `cargo xtask bench slopes` runs every measurement here and prints a table and one JSON line;
//! `docs/CAPACITY.md` works the figures out for the size that the system is built towards. Each
//! cost is measured at several sizes and fitted by a line, so that the page can say how sure the
//! slope is.
//!
//! # Example
//!
//! ```
//! use chicoryrail_slopes::Fit;
//!
//! let fit = Fit::of(&[(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)]);
//! assert_eq!((fit.slope, fit.base), (2.0, 1.0));
//! ```
//!
//! Go on with [`run`] for all measurements, [`Plan`] for the ways in which a change can spread, [`Report`]
//! for the result, and [`Fit`] for the line.

mod calls;
mod fit;
mod links;
mod mesh;
mod report;
mod spread;
mod table;
mod usage;

pub use calls::call_costs;
pub use calls::session_cost;
pub use fit::Fit;
pub use links::link_memory;
pub use mesh::Part;
pub use mesh::Plan;
pub use mesh::mesh_plan;
pub use mesh::tree_plan;
pub use report::Line;
pub use report::Report;
pub use report::run;
pub use spread::Spread;
pub use spread::spread_time;
pub use table::table_costs;
pub use usage::Usage;

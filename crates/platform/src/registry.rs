//! The registry's host lists, whole or as changes, and the timing of requests to it.

mod list;
mod schedule;
mod timeouts;
mod versions;

pub use list::{Health, LIST_PATH, Line, List, MAX_LIST_BYTES, list_request, parse, parse_value};
pub use schedule::{Failure, RequestKind, RequestLimits, RequestSchedule};
pub use timeouts::{CHANGE_READ_DEADLINE, READ_MARGIN, RELOAD_READ_DEADLINE, RegistryTimeouts};
pub use versions::{OLDER_VERSIONS_IGNORED_FOR, VersionFilter};

#[cfg(test)]
mod tests;

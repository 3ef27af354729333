//! The metadata of a statement.

use reedwalk_scheduler::ClassId;
use std::sync::Arc;
use std::time::Duration;

/// The metadata of a statement, as read from the call that brought it.
#[derive(Clone, Debug)]
pub struct Header {
    pub(super) class: ClassId,
    pub(super) trace: Option<String>,
    pub(super) key: Option<String>,
    pub(super) is_retry: bool,
    pub(super) team: Option<Arc<str>>,
    pub(super) work: Option<Duration>,
    pub(super) memory_mb: Option<f64>,
}

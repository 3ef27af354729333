//! The request fields in the gRPC metadata of a call.

use reedwalk_scheduler::ClassId;
use std::sync::Arc;
use std::time::Duration;

/// The request fields of a statement, read from the gRPC metadata of the call that submitted it.
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

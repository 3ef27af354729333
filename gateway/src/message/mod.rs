//! Message types exchanged by the broker, the fronts, the engine transports and the owners of shared state. All of
//! those depend on this module; it depends on no wire format and on none of the tasks that exchange the messages.

mod attempt;
mod endpoint;
mod endpoint_mailbox;
mod event;
mod persisted_event;
mod quota;
mod request;
mod response;

pub use attempt::{AttemptEvent, AttemptId, AttemptRequest, AttemptResult, EngineTransport};
pub use endpoint::{Endpoint, EndpointUpdate, EngineAddress};
pub use endpoint_mailbox::EndpointMailbox;
pub use event::{BrokerEvent, ClaimAnswer, GossipHandle, OutlierKind, OutlierReport};
pub use persisted_event::PersistedEvent;
pub use quota::{Charge, QuotaDecision, QuotaRequest};
pub use request::{Request, ResponseHandle};
pub use response::{Failure, Rejection, Response, Rows, WireNative};

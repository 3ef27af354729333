//! Types that pass between the broker, the fronts, the engine transports and the owners of shared state. They stand
//! below all of those: nothing here refers to a wire format or to any of the tasks that exchange these messages.

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

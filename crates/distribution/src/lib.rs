//! Distribution of configuration by resource, version and subscription. No I/O and no clock: bytes,
//! messages and times come in, messages and orders go out.
//!
//! - [`Store`]: all resources by service, with a bounded log of changes (control machine).
//! - [`Publisher`]: the sessions of a control machine's subscribers over one store.
//! - [`Subscriber`]: a balancer's side: which control machine, what it holds, what it applies.
//! - [`encode`] and [`FrameReader`]: the frames in which the two talk.
//!
//! Why it is so stands in `docs/design/distribution.md`.

mod codec;
mod digest;
mod message;
mod name;
mod publisher;
mod resource;
mod service;
mod status;
mod store;
mod subscriber;

pub use codec::{
    CodecError, FRAME_HEADER_BYTES, FrameReader, MAX_BUFFERED_BYTES, MAX_FRAME_BYTES, Message,
    PROTOCOL_VERSION, encode,
};
pub use digest::{hash_bytes, next_chain_hash, resource_digest, scope_digest_term};
pub use message::{
    Base, MAX_CHANGES_PER_MESSAGE, MAX_REJECTIONS, MAX_SERVICES_PER_MESSAGE, NackReason,
    PublisherMessage, Refusal, ServiceBase, StatusQuery, SubscriberMessage,
};
pub use name::{
    MAX_KEY_BYTES, MAX_NAME_BYTES, NameError, ResourceKind, ResourceName, ServiceName,
    SubscriberName,
};
pub use publisher::{
    CloseReason, Publisher, PublisherCounters, PublisherOptions, PublisherOutput, SessionId,
};
pub use resource::{
    Change, LogEntry, MAX_BODY_BYTES, MAX_TEXT_BYTES, Origin, Position, Rejection, Resource,
    ResourceBody, ServiceVersion,
};
pub use status::{
    LagStatus, LogStatus, MAX_LISTED_PER_SESSION, MAX_SESSIONS_PER_PAGE, MachineStatus,
    PublisherStatus, RejectionStatus, SessionStatus, StatusPage, StatusRows,
};
pub use store::{AppendError, Appended, Store, StoreLimits};
pub use subscriber::{
    ConnectionState, DisconnectReason, SavedService, SavedState, ServiceUpdate, Subscriber,
    SubscriberCounters, SubscriberEvent, SubscriberOptions, SubscriberOutput, SubscriberStatus,
    SubscriberTiming, Transaction,
};

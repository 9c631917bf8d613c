//! Distribution of configuration to a fleet of 7,600 balancers. Each balancer receives the configuration of the
//! services that it serves, out of 2,500, within seconds of a change. Reconnections are spread over machines and over
//! time, so that the return of a control machine or of a region causes no burst of them.
//!
//! A control machine reads the operators' numbered change files into a [`Store`] and serves the sessions of its
//! subscribers by a [`Publisher`]. A balancer runs a [`Subscriber`] that connects to one of the control machines,
//! subscribes to its services and gets transactions, which it applies as a whole and acknowledges (ACK) or rejects
//! (NACK). On a new connection it reports the version and the digest of each service: the control machine sends nothing
//! for a service that has not changed, a delta for one whose changes are in the log of the store, and a snapshot for
//! any other. The protocol is that of incremental xDS, with the resource versions and bookmarks of Kubernetes' watch.
//!
//! The crate has no I/O, no clock and no threads. The caller passes in bytes, messages and times and carries out the
//! outputs; the same calls give the same outputs. No queue grows with the number of changes, and a length that a frame
//! claims allocates at most a fixed amount of memory before its bytes have been received.
//!
//! | module | holds |
//! | --- | --- |
//! | `name`, `body`, `resource`, `log_entry`, `position`, `rejection` | names, resources, changes, log positions |
//! | `digest` | the hashes by which two sides detect that their state differs |
//! | `message`, `status`, `codec`, `bounded_text` | the messages, and their encoding as frames |
//! | `violation` | the messages that the protocol does not allow |
//! | `store`, `service_state` | all resources by service, with a bounded log of changes |
//! | `publisher` | the sessions of a control machine's subscribers |
//! | `subscriber` | the connection and the applied state of a balancer |
//!
//! Invariants: a subscriber's position never moves back; a transaction is applied completely or not at all; the last
//! good state stays in force after a rejection and without any control machine; all services of a scope that one change
//! has touched are in one transaction as long as the log holds the change. The state machines of a publisher's session
//! and of a subscriber, and the reasons for their design, are in `docs/design/distribution.md`.
//!
//! ```
//! use sableloom_distribution::{
//!     Change, LogEntry, Origin, Publisher, PublisherOptions, Resource, ResourceName, ServiceName, SessionId, Store,
//!     StoreLimits, Subscriber, SubscriberName, SubscriberOptions, SubscriberOutput,
//! };
//! use sableloom_types::Time;
//!
//! let points = ServiceName::try_from("points")?;
//! let mut publisher = Publisher::new(Store::new(StoreLimits::default()), PublisherOptions::default());
//! let resource = Resource {
//!     name: ResourceName::server(points.clone(), "points-1"),
//!     version: 1,
//!     origin: Origin { file: "00000001.toml".into(), line: 3 },
//!     body: b"10.0.0.1:9001".as_slice().into(),
//! };
//! let entry = LogEntry { number: 1, epoch: 1, changes: vec![Change::Set(resource)], hash: 0 };
//! publisher.append(Time(0), entry, &mut Vec::new())?;
//!
//! let name = SubscriberName::try_from("balancer-1")?;
//! let mut subscriber = Subscriber::new(SubscriberOptions::new(name, 1, vec![points], 7));
//! let mut outputs = Vec::new();
//! subscriber.start(Time(0), &mut outputs);
//! let due = subscriber.due().expect("a first connection");
//! subscriber.tick(due, &mut outputs);
//! assert_eq!(outputs, [SubscriberOutput::Connect { control_machine: 0 }]);
//!
//! // The caller makes the connection and passes the messages on to the other side.
//! publisher.connected(due, SessionId(1));
//! outputs.clear();
//! subscriber.connected(due, &mut outputs);
//! let mut frames = Vec::new();
//! for output in outputs {
//!     if let SubscriberOutput::Send(message) = output {
//!         publisher.message(due, SessionId(1), message, &mut frames);
//!     }
//! }
//! // The frames are a welcome and a snapshot of the service: begin, changes, commit.
//! assert_eq!(frames.len(), 4);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod body;
mod bounded_text;
mod codec;
mod digest;
mod log_entry;
mod message;
mod name;
mod position;
mod publisher;
mod rejection;
mod resource;
mod service_state;
mod status;
mod store;
mod subscriber;
mod violation;

pub use body::{MAX_BODY_BYTES, ResourceBody};
pub use bounded_text::MAX_TEXT_BYTES;
pub use codec::{
    CodecError, FRAME_HEADER_BYTES, FrameReader, MAX_BUFFERED_BYTES, MAX_FRAME_BYTES, Message,
    PROTOCOL_VERSION, encode,
};
pub use digest::{hash_bytes, next_chain_hash, resource_digest, scope_digest_term};
pub use log_entry::LogEntry;
pub use message::{
    Base, MAX_CHANGES_PER_MESSAGE, MAX_REJECTIONS, MAX_SERVICES_PER_MESSAGE, NackReason,
    PublisherMessage, Refusal, ServiceBase, StatusQuery, SubscriberMessage,
};
pub use name::{
    MAX_KEY_BYTES, MAX_NAME_BYTES, NameError, ResourceKind, ResourceName, ServiceName,
    SubscriberName,
};
pub use position::{Position, ServiceVersion};
pub use publisher::{
    CloseReason, Publisher, PublisherCounters, PublisherOptions, PublisherOutput, SessionId,
};
pub use rejection::Rejection;
pub use resource::{Change, Origin, Resource};
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
pub use violation::{PublisherViolation, SubscriberViolation};

//! The wire protocol between the router's processes.
//!
//! Calls are multiplexed over one TCP connection. Each [`Frame`] carries its call
//! number, the sender's configuration revision and the sender's clock. The message
//! structs use the derives of `prost` directly, so the build needs no code generator.

mod admission;
mod codec;
mod crashes;
mod dispatch;
mod feed;
mod frame;
mod limit;
mod probe;
mod quota;
mod run_status;
mod shared_watch;
mod state;
mod stream_origin;

pub use admission::AdmissionLoad;
pub use admission::AdmissionOutcome;
pub use admission::AdmissionRequest;
pub use admission::AdmissionResponse;
pub use admission::AdmissionStage;
pub use admission::AdmissionUpdate;
pub use admission::PriorityLoad;
pub use codec::FrameCodec;
pub use codec::MAX_FRAME_BYTES;
pub use codec::WireError;
pub use crashes::CrashNotice;
pub use crashes::CrashedRun;
pub use dispatch::Chunk;
pub use dispatch::Dispatch;
pub use dispatch::Finished;
pub use dispatch::PlainAnswer;
pub use dispatch::Refused;
pub use dispatch::RequestKind;
pub use feed::CacheChange;
pub use feed::EnginePace;
pub use feed::EntryNotice;
pub use feed::ModelVersion;
pub use feed::PartSharing;
pub use feed::PrefillNotice;
pub use feed::ReadingNotice;
pub use feed::SharingRelease;
pub use feed::StoreChange;
pub use feed::UpstreamState;
pub use frame::Body;
pub use frame::Frame;
pub use frame::Hello;
pub use limit::LimitNotice;
pub use probe::Probe;
pub use probe::ProbeAnswer;
pub use probe::Readiness;
pub use quota::QuotaRefund;
pub use quota::QuotaRequest;
pub use quota::QuotaResponse;
pub use run_status::RunQuery;
pub use run_status::RunReply;
pub use shared_watch::WatchOutcome;
pub use shared_watch::WatchRequest;
pub use shared_watch::WatchResponse;
pub use state::DrainRequest;
pub use state::DrainResponse;
pub use state::Event;
pub use state::EventsRequest;
pub use state::EventsResponse;
pub use state::Member;
pub use state::Piece;
pub use state::PiecesRequest;
pub use state::PiecesResponse;
pub use state::Role;
pub use state::StateRequest;
pub use state::StateResponse;
pub use state::StatusResponse;
pub use stream_origin::OriginNotice;
pub use stream_origin::OriginQuery;
pub use stream_origin::OriginReply;

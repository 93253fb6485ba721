//! The envelope of every message.

use crate::AdmissionRequest;
use crate::AdmissionResponse;
use crate::AdmissionUpdate;
use crate::CacheChange;
use crate::Chunk;
use crate::CrashNotice;
use crate::Dispatch;
use crate::DrainRequest;
use crate::DrainResponse;
use crate::EntryNotice;
use crate::EventsRequest;
use crate::EventsResponse;
use crate::Finished;
use crate::LimitNotice;
use crate::OriginNotice;
use crate::OriginQuery;
use crate::OriginReply;
use crate::PiecesRequest;
use crate::PiecesResponse;
use crate::PlainAnswer;
use crate::Probe;
use crate::ProbeAnswer;
use crate::QuotaRefund;
use crate::QuotaRequest;
use crate::QuotaResponse;
use crate::ReadingNotice;
use crate::Refused;
use crate::RunQuery;
use crate::RunReply;
use crate::SharingRelease;
use crate::StateRequest;
use crate::StateResponse;
use crate::StatusResponse;
use crate::StoreChange;
use crate::UpstreamState;
use crate::WatchRequest;
use crate::WatchResponse;

/// A message and its envelope.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// The call that the message belongs to, by a number that the caller chooses.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// The configuration revision in force at the sender.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The sender's hybrid logical clock.
    #[prost(fixed64, tag = "3")]
    pub hlc: u64,
    /// The message.
    #[prost(
        oneof = "Body",
        tags = "4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, \
                                    18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 30, 31, 32, 33, 34, 35, 36, 37, 38, 39, 40, 41, 42, 43, 44, 45, 46, 47, 48"
    )]
    pub body: Option<Body>,
}

impl Frame {
    /// Returns the size of the encoded message, in bytes.
    pub fn size_bytes(&self) -> usize {
        prost::Message::encoded_len(self)
    }
}

/// The payload of a frame.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Opens a connection.
    #[prost(message, tag = "4")]
    Hello(Hello),
    /// Checks whether the peer is alive.
    #[prost(bool, tag = "5")]
    Ping(bool),
    /// Answers a ping.
    #[prost(bool, tag = "6")]
    Pong(bool),
    /// Queries how much of a prompt an upstream has cached.
    #[prost(message, tag = "7")]
    Probe(Probe),
    /// Answers a probe.
    #[prost(message, tag = "8")]
    ProbeAnswer(ProbeAnswer),
    /// Dispatches a request to a sidecar.
    #[prost(message, tag = "9")]
    Dispatch(Dispatch),
    /// Announces that the request is about to be sent to the upstream.
    #[prost(bool, tag = "10")]
    Started(bool),
    /// Carries one chunk of a stream.
    #[prost(message, tag = "11")]
    Chunk(Chunk),
    /// Ends a stream.
    #[prost(message, tag = "12")]
    Finished(Finished),
    /// Carries the response of a plain service.
    #[prost(message, tag = "13")]
    PlainAnswer(PlainAnswer),
    /// Rejects a request, or the rest of a stream.
    #[prost(message, tag = "14")]
    Refused(Refused),
    /// Reports that the upstream has sent nothing for long; the call goes on.
    #[prost(bool, tag = "47")]
    Silent(bool),
    /// Releases the parts of a sidecar's engine.
    #[prost(message, tag = "48")]
    SharingRelease(SharingRelease),
    /// Cancels a call.
    #[prost(bool, tag = "15")]
    Cancel(bool),
    /// Requests the configuration and the members.
    #[prost(message, tag = "16")]
    StateRequest(StateRequest),
    /// Returns the configuration and the members.
    #[prost(message, tag = "17")]
    StateResponse(StateResponse),
    /// Requests recorded events.
    #[prost(message, tag = "18")]
    EventsRequest(EventsRequest),
    /// Returns recorded events.
    #[prost(message, tag = "19")]
    EventsResponse(EventsResponse),
    /// Requests the state of a process.
    #[prost(bool, tag = "20")]
    StatusRequest(bool),
    /// Returns the state of a process.
    #[prost(message, tag = "21")]
    StatusResponse(StatusResponse),
    /// Requests that a sidecar stop accepting new work.
    #[prost(message, tag = "22")]
    DrainRequest(DrainRequest),
    /// Answers a drain with the number of requests still in progress.
    #[prost(message, tag = "23")]
    DrainResponse(DrainResponse),
    /// Requests pieces of the configuration.
    #[prost(message, tag = "24")]
    PiecesRequest(PiecesRequest),
    /// Returns pieces of the configuration.
    #[prost(message, tag = "25")]
    PiecesResponse(PiecesResponse),
    /// Notifies an entry of the state of an upstream.
    #[prost(message, tag = "26")]
    UpstreamState(UpstreamState),
    /// Notifies a sidecar of an entry's view of the service.
    #[prost(message, tag = "27")]
    EntryNotice(EntryNotice),
    /// Notifies an entry of changes of the prompt parts that an upstream holds.
    #[prost(message, tag = "28")]
    CacheChange(CacheChange),
    /// Notifies an entry of changes of the parts that a prompt store holds.
    ///
    /// Tag 29 must not be reused: it carried changes without the store's address.
    #[prost(message, tag = "30")]
    StoreChange(StoreChange),
    /// Notifies a sidecar, for all entries, of shared parts that are prefilled there.
    #[prost(message, tag = "31")]
    ReadingNotice(ReadingNotice),
    /// Requests changes of the platform's store from a sidecar.
    #[prost(message, tag = "32")]
    WatchRequest(WatchRequest),
    /// Returns changes of the platform's store.
    #[prost(message, tag = "33")]
    WatchResponse(WatchResponse),
    /// Reports requests that were running when an upstream crashed; sent in both
    /// directions.
    #[prost(message, tag = "34")]
    CrashNotice(CrashNotice),
    /// Asks a sidecar to charge a request to its customer's quota.
    #[prost(message, tag = "35")]
    QuotaRequest(QuotaRequest),
    /// Returns the decision on a charge.
    #[prost(message, tag = "36")]
    QuotaResponse(QuotaResponse),
    /// Takes back the charge of a request that did not run.
    #[prost(message, tag = "37")]
    QuotaRefund(QuotaRefund),
    /// Reports the request limit of a server; sent in both directions.
    #[prost(message, tag = "38")]
    LimitNotice(LimitNotice),
    /// Asks a sidecar to admit a request to its engine.
    #[prost(message, tag = "39")]
    AdmissionRequest(AdmissionRequest),
    /// Returns the decision on an admission.
    #[prost(message, tag = "40")]
    AdmissionResponse(AdmissionResponse),
    /// Reports the progress of an admitted or waiting request.
    #[prost(message, tag = "41")]
    AdmissionUpdate(AdmissionUpdate),
    /// Asks a sidecar whether its engine still works on a request.
    #[prost(message, tag = "42")]
    RunQuery(RunQuery),
    /// Returns the progress of a run.
    #[prost(message, tag = "43")]
    RunReply(RunReply),
    /// Tells a sidecar which software version began a stream.
    #[prost(message, tag = "44")]
    OriginNotice(OriginNotice),
    /// Asks a sidecar which software version began a stream.
    #[prost(message, tag = "45")]
    OriginQuery(OriginQuery),
    /// Returns which software version began a stream.
    #[prost(message, tag = "46")]
    OriginReply(OriginReply),
}

/// Identifies the process that opened a connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// The name of the process.
    #[prost(string, tag = "1")]
    pub process: String,
    /// The address at which peers connect to the process.
    #[prost(string, tag = "2")]
    pub address: String,
}

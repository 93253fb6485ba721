//! The frame that carries each message.

use crate::CacheChange;
use crate::Chunk;
use crate::CrashNotice;
use crate::Dispatch;
use crate::DrainAnswer;
use crate::DrainAsk;
use crate::EntryNotice;
use crate::EventsAnswer;
use crate::EventsAsk;
use crate::Finished;
use crate::PiecesAnswer;
use crate::PiecesAsk;
use crate::PlainAnswer;
use crate::Probe;
use crate::ProbeAnswer;
use crate::ReadingNotice;
use crate::Refused;
use crate::StateAnswer;
use crate::StateAsk;
use crate::StatusAnswer;
use crate::StoreChange;
use crate::UpstreamState;
use crate::WatchAnswer;
use crate::WatchAsk;

/// One message on a connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// The call that the message belongs to; the caller chooses the number.
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
                                    18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 30, 31, 32, 33, 34"
    )]
    pub body: Option<Body>,
}

/// The messages.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Opens a connection.
    #[prost(message, tag = "4")]
    Hello(Hello),
    /// Asks whether the other end is alive.
    #[prost(bool, tag = "5")]
    Ping(bool),
    /// Answers a ping.
    #[prost(bool, tag = "6")]
    Pong(bool),
    /// Asks what an upstream holds of a prompt.
    #[prost(message, tag = "7")]
    Probe(Probe),
    /// Answers a probe.
    #[prost(message, tag = "8")]
    ProbeAnswer(ProbeAnswer),
    /// Hands a request to a sidecar.
    #[prost(message, tag = "9")]
    Dispatch(Dispatch),
    /// Says that the request is about to be given to the upstream.
    #[prost(bool, tag = "10")]
    Started(bool),
    /// Carries the next piece of a stream.
    #[prost(message, tag = "11")]
    Chunk(Chunk),
    /// Ends a stream.
    #[prost(message, tag = "12")]
    Finished(Finished),
    /// Carries the answer of a plain service.
    #[prost(message, tag = "13")]
    PlainAnswer(PlainAnswer),
    /// Says that a request, or the rest of it, was not served.
    #[prost(message, tag = "14")]
    Refused(Refused),
    /// Gives up a call.
    #[prost(bool, tag = "15")]
    Cancel(bool),
    /// Asks for the configuration and the members.
    #[prost(message, tag = "16")]
    StateAsk(StateAsk),
    /// Answers with the configuration and the members.
    #[prost(message, tag = "17")]
    StateAnswer(StateAnswer),
    /// Asks for recorded events.
    #[prost(message, tag = "18")]
    EventsAsk(EventsAsk),
    /// Answers with recorded events.
    #[prost(message, tag = "19")]
    EventsAnswer(EventsAnswer),
    /// Asks for the state of a process.
    #[prost(bool, tag = "20")]
    StatusAsk(bool),
    /// Answers with the state of a process.
    #[prost(message, tag = "21")]
    StatusAnswer(StatusAnswer),
    /// Asks a sidecar to take no new work.
    #[prost(message, tag = "22")]
    DrainAsk(DrainAsk),
    /// Answers a drain with what is still in progress.
    #[prost(message, tag = "23")]
    DrainAnswer(DrainAnswer),
    /// Asks for pieces of the configuration.
    #[prost(message, tag = "24")]
    PiecesAsk(PiecesAsk),
    /// Answers with pieces of the configuration.
    #[prost(message, tag = "25")]
    PiecesAnswer(PiecesAnswer),
    /// Tells an entry how an upstream fares.
    #[prost(message, tag = "26")]
    UpstreamState(UpstreamState),
    /// Tells a sidecar what its entry knows of the service.
    #[prost(message, tag = "27")]
    EntryNotice(EntryNotice),
    /// Tells an entry which parts of prompts an upstream holds.
    #[prost(message, tag = "28")]
    CacheChange(CacheChange),
    /// Tells an entry which parts a store of kept prompts holds.
    ///
    /// Its number is not 29: that one carried changes without the store's address.
    #[prost(message, tag = "30")]
    StoreChange(StoreChange),
    /// Tells a sidecar, for all entries, which shared parts are read there.
    #[prost(message, tag = "31")]
    ReadingNotice(ReadingNotice),
    /// Asks a sidecar for changes of the platform's store.
    #[prost(message, tag = "32")]
    WatchAsk(WatchAsk),
    /// Answers with changes of the platform's store.
    #[prost(message, tag = "33")]
    WatchAnswer(WatchAnswer),
    /// Reports crashes of upstreams during runs, in both directions.
    #[prost(message, tag = "34")]
    CrashNotice(CrashNotice),
}

/// Who opened a connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// The name of the process.
    #[prost(string, tag = "1")]
    pub process: String,
    /// Its address for peers.
    #[prost(string, tag = "2")]
    pub address: String,
}

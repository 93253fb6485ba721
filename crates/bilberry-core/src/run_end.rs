//! Whether a run that fell silent is over, so that another engine may go on with it.
//!
//! The load pattern: a host stands still for seconds and goes on where it was, its engine
//! and its sidecar alike. Silence of any length, from however many of them, proves
//! nothing, and neither does a connection that was closed, by whom can't be told. Taken
//! for the engine's end, two engines work on what may run once.

/// How many new connections in a row get no sign before a host is out of reach.
///
/// A lost packet hides one of them; three in a row, a link that others get through.
const SILENT_CONNECTIONS: u32 = 3;

/// What a host does with a new connection.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum Reach {
    /// It takes the connection, so it is there, whether or not anything on it moves.
    Taken,
    /// It refuses the connection: nothing listens there any more.
    Refused,
    /// It gives no sign in the time that a connection takes.
    Silent,
}

/// What the sidecar on an engine's host reports of it.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum SidecarStatus {
    /// The engine answers it.
    Up,
    /// The engine does not answer it.
    Down,
    /// It has sent no update lately.
    Silent,
}

/// Why a run is taken to be over where it was.
#[derive(Debug, Copy, Clone, PartialEq, Eq, Hash)]
pub enum RunEnd {
    /// Its engine stopped it when asked to.
    Stopped,
    /// Its engine says that there is no such run.
    Unknown,
    /// Its engine has started again since.
    StartedAnew,
    /// Nothing listens where its engine did.
    Refused,
    /// Its engine can't be reached at all.
    OutOfReach,
}

impl RunEnd {
    /// Returns the word for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stopped => "stopped",
            Self::Unknown => "no such run",
            Self::StartedAnew => "started again",
            Self::Refused => "refused",
            Self::OutOfReach => "out of reach",
        }
    }
}

/// The new connections that were tried to the engine of a silent run.
#[derive(Debug, Clone, Default)]
pub struct Reaching {
    silent_in_a_row: u32,
}

impl Reaching {
    /// Takes in one more; returns the end that it proves, if any.
    ///
    /// While the stream's own connection is open its host acknowledges what it is sent,
    /// so it is there: new connections may be refused or wait in a full queue. A sidecar
    /// that hears its engine shows the same.
    pub fn note(
        &mut self,
        reach: Reach,
        sidecar: SidecarStatus,
        stream_is_open: bool,
    ) -> Option<RunEnd> {
        self.silent_in_a_row = match reach {
            Reach::Silent => self.silent_in_a_row + 1,
            Reach::Taken | Reach::Refused => 0,
        };
        match reach {
            _ if stream_is_open => None,
            Reach::Refused => Some(RunEnd::Refused),
            Reach::Silent
                if self.silent_in_a_row >= SILENT_CONNECTIONS
                    && sidecar != SidecarStatus::Up =>
            {
                Some(RunEnd::OutOfReach)
            }
            Reach::Silent | Reach::Taken => None,
        }
    }
}

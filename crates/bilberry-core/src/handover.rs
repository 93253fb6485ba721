//! When another run of a request begins, and when a run is left for it.
//!
//! A run without progress may be lost or slow, and no silence tells which. A suspected
//! run is therefore kept until its successor has begun to answer: before that, the
//! successor may still find no retry, no place and no permit, or be rejected, or crash.
//! Where runs must not overlap, the successor is reserved before the run is stopped, and
//! is sent only once the run has ended.

/// Whether two runs of a request may be in progress at the same time.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum RunOverlap {
    /// The request may run more than once.
    Allowed,
    /// The request runs at most once.
    Forbidden,
}

/// The handover of a request from its current run to a successor.
#[derive(Debug, Clone)]
pub struct Handover {
    overlap: RunOverlap,
    run: RunState,
    successor: SuccessorState,
}

/// What happens to the current run or its successor.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum HandoverEvent {
    /// The run counts as lost, as it is silent or its engine is reported as stalled or down.
    Suspected,
    /// The run has made the next part of the answer.
    Progressed,
    /// The run has ended before the answer was complete.
    Ended,
    /// The successor has a retry, a place and a permit, and is not sent yet.
    Reserved,
    /// The successor has made the next part of the answer.
    Began,
    /// The successor was not reserved, was rejected, or has ended.
    Failed,
}

/// What to do after an event.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum HandoverStep {
    /// Wait for the next event.
    Wait,
    /// Reserve a successor, and send it if runs may overlap.
    Begin,
    /// Stop the run, as its successor is reserved.
    Stop,
    /// Send the reserved successor, as the run has ended.
    Send,
    /// Cancel the successor, as the run goes on.
    Cancel,
    /// Leave the run; its successor becomes the run.
    Adopt,
    /// Begin another run, as none is left.
    Replace,
}

#[derive(Debug, Copy, Clone, PartialEq, Eq)]
enum RunState {
    Connected,
    Stopping,
    Ended,
}

#[derive(Debug, Copy, Clone, PartialEq, Eq)]
enum SuccessorState {
    None,
    Reserving,
    Reserved,
    Sent,
}

impl Handover {
    /// Creates the state of a request with a run and no successor.
    pub fn new(overlap: RunOverlap) -> Self {
        Self { overlap, run: RunState::Connected, successor: SuccessorState::None }
    }

    /// Reports whether a successor is reserved or in progress.
    pub fn has_successor(&self) -> bool {
        self.successor != SuccessorState::None
    }

    /// Reports whether the run has ended.
    pub fn has_ended(&self) -> bool {
        self.run == RunState::Ended
    }

    /// Reports whether the run was asked to stop, which can't be taken back.
    pub fn is_stopping(&self) -> bool {
        self.run == RunState::Stopping
    }

    /// Records an event and returns what to do.
    pub fn record(&mut self, event: HandoverEvent) -> HandoverStep {
        let may_overlap = self.overlap == RunOverlap::Allowed;
        match (event, self.run, self.successor) {
            (HandoverEvent::Suspected, RunState::Connected, SuccessorState::None) => {
                self.successor = match may_overlap {
                    true => SuccessorState::Sent,
                    false => SuccessorState::Reserving,
                };
                HandoverStep::Begin
            }
            (HandoverEvent::Progressed, RunState::Connected, successor)
                if successor != SuccessorState::None =>
            {
                self.successor = SuccessorState::None;
                HandoverStep::Cancel
            }
            (HandoverEvent::Reserved, RunState::Connected, SuccessorState::Reserving) => {
                self.successor = SuccessorState::Reserved;
                self.run = RunState::Stopping;
                HandoverStep::Stop
            }
            (HandoverEvent::Ended, RunState::Stopping, SuccessorState::Reserved) => {
                self.run = RunState::Ended;
                self.successor = SuccessorState::Sent;
                HandoverStep::Send
            }
            (HandoverEvent::Ended, RunState::Connected, SuccessorState::Sent) => {
                self.run = RunState::Ended;
                HandoverStep::Wait
            }
            (HandoverEvent::Ended, RunState::Connected, _) => {
                self.run = RunState::Ended;
                self.successor = SuccessorState::None;
                HandoverStep::Replace
            }
            (HandoverEvent::Began, _, SuccessorState::Sent) => {
                *self = Self::new(self.overlap);
                HandoverStep::Adopt
            }
            (HandoverEvent::Failed, RunState::Ended, SuccessorState::Sent) => {
                self.successor = SuccessorState::None;
                HandoverStep::Replace
            }
            (HandoverEvent::Failed, RunState::Connected, _) => {
                self.successor = SuccessorState::None;
                HandoverStep::Wait
            }
            _ => HandoverStep::Wait,
        }
    }
}

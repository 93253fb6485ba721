//! Ordering of a response stream across attempts, as the caller sees it.

/// How a received frame is handled.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum Accept {
    /// The frame is the next in sequence and is delivered.
    Deliver,
    /// The frame belongs to another attempt or is a duplicate, and is dropped.
    Drop,
    /// A preceding frame is missing, so the attempt has failed.
    Gap,
}

/// The position of a caller's stream across all its attempts.
#[derive(Debug, Clone)]
pub struct StreamCursor {
    /// The attempt whose frames are delivered.
    attempt: u32,
    /// The last attempt that was numbered.
    last_attempt: u32,
    next_number: u64,
    text: String,
}

impl StreamCursor {
    /// Creates a cursor positioned before the first frame of attempt 0.
    pub fn new() -> Self {
        Self { attempt: 0, last_attempt: 0, next_number: 0, text: String::new() }
    }

    /// Starts another attempt and returns its number.
    ///
    /// Frames of earlier attempts are dropped from now on. Otherwise a frame delayed on a
    /// slow link would be delivered to the caller a second time.
    pub fn start_attempt(&mut self) -> u32 {
        let attempt = self.number_attempt();
        self.switch_to(attempt);
        attempt
    }

    /// Returns the number of another attempt, whose frames are dropped until the cursor
    /// switches to it.
    pub fn number_attempt(&mut self) -> u32 {
        self.last_attempt += 1;
        self.last_attempt
    }

    /// Delivers the frames of this attempt, and drops those of all others.
    pub fn switch_to(&mut self, attempt: u32) {
        self.attempt = attempt;
        self.next_number = 0;
    }

    /// Classifies a frame and, if it is the next in sequence, appends its text.
    pub fn accept(&mut self, attempt: u32, number: u64, text: &str) -> Accept {
        match number.cmp(&self.next_number) {
            _ if attempt != self.attempt => Accept::Drop,
            std::cmp::Ordering::Less => Accept::Drop,
            std::cmp::Ordering::Greater => Accept::Gap,
            std::cmp::Ordering::Equal => {
                self.next_number += 1;
                self.text.push_str(text);
                Accept::Deliver
            }
        }
    }

    /// Returns the text delivered so far; a new attempt resumes after it.
    pub fn text(&self) -> &str {
        &self.text
    }
}

impl Default for StreamCursor {
    fn default() -> Self {
        Self::new()
    }
}

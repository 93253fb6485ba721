//! Answers that no HTTP/1.1 client may take for a server's complete response.

/// The way in which an answer is broken.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum BrokenAnswer {
    /// The length ends with a letter.
    LengthWithLetter,
    /// The length is negative.
    LengthNegative,
    /// The length has a plus sign.
    LengthWithSign,
    /// The length is hexadecimal.
    LengthInHex,
    /// The length is an empty text.
    LengthEmpty,
    /// The length exceeds 64 bits.
    LengthOverflow,
    /// Two lines state different lengths.
    LengthsDiffer,
    /// One line lists different lengths.
    LengthList,
    /// Two lines state the same length.
    LengthTwice,
    /// The connection ends before the stated length.
    LengthTooLong,
    /// The body is longer than the stated length.
    LengthTooShort,
    /// As `LengthTooShort`, and the connection stays open.
    LengthTooShortKept,
    /// The name of the length's line holds a control byte.
    LengthNameWithControl,
    /// A blank precedes the colon of the length's line.
    LengthNameWithBlank,
    /// The last coding is misspelt.
    CodingMisspelt,
    /// The coding is an empty text.
    CodingEmpty,
    /// The coding is `identity`, which HTTP/1.1 has removed.
    CodingIdentity,
    /// Another coding follows `chunked`.
    CodingAfterChunked,
    /// Another coding follows `chunked` on a line of its own.
    CodingLineAfterChunked,
    /// Another coding precedes `chunked`.
    CodingBeforeChunked,
    /// The body is said to be chunked twice.
    ChunkedTwice,
    /// A chunked body has a length.
    ChunkedWithLength,
    /// A body of a misspelt coding has a length.
    CodingMisspeltWithLength,
    /// A body is chunked in HTTP/1.0.
    ChunkedInHttp10,
    /// The body is compressed, which no client has requested.
    Compressed,
    /// The size of a chunk is no number.
    ChunkSizeSpoilt,
    /// The size of a chunk exceeds 64 bits.
    ChunkSizeOverflow,
    /// The size of a chunk in the middle is zero.
    ChunkSizeZero,
    /// A chunk is longer than its size.
    ChunkUnterminated,
    /// The connection ends before the last chunk.
    LastChunkMissing,
    /// A line has no colon.
    LineWithoutColon,
    /// A line consists of arbitrary bytes.
    LineOfBytes,
    /// A line has an empty name.
    LineWithoutName,
    /// A line continues the one before.
    LineFolded,
    /// A line holds a carriage return.
    LineWithReturn,
    /// The name of a field holds a blank.
    NameWithBlank,
    /// A blank precedes the colon.
    NameEndsWithBlank,
    /// The name of a field holds a tab.
    NameWithTab,
    /// The name of a field holds a zero byte.
    NameWithZero,
    /// The name of a field holds a control byte.
    NameWithControl,
    /// The name of a field holds the byte 127.
    NameWithDelete,
    /// The name of a field holds a letter outside ASCII.
    NameWithUmlaut,
    /// The value of a field holds a zero byte.
    ValueWithZero,
    /// The value of a field holds a control byte.
    ValueWithControl,
    /// The status is 000.
    StatusZero,
    /// The status is 099.
    StatusBelowRange,
    /// The status is 600.
    StatusAboveRange,
    /// The status has two digits.
    StatusTooShort,
    /// The status has four digits.
    StatusTooLong,
    /// The status is no number.
    StatusWithLetter,
    /// The status says that the protocol changes.
    SwitchesProtocols,
    /// The status excludes a body, and a length is stated.
    NoContentWithLength,
    /// The status excludes a body, and a coding is stated.
    NoContentWithCoding,
    /// The version is unknown.
    UnknownVersion,
    /// The connection ends within the status line.
    HeadCutInStatus,
    /// The connection ends within a field.
    HeadCutInLine,
    /// The connection ends within the value of the length.
    HeadCutInLength,
    /// The connection ends after a field, before the blank line.
    HeadCutAfterLine,
    /// The connection ends within the blank line.
    HeadCutInBlankLine,
}

/// The parts of an answer that a server would send as it should.
struct Parts<'a> {
    status: u16,
    lines: &'a str,
    body: &'a str,
}

impl BrokenAnswer {
    /// All ways.
    pub const ALL: [Self; 59] = [
        Self::LengthWithLetter,
        Self::LengthNegative,
        Self::LengthWithSign,
        Self::LengthInHex,
        Self::LengthEmpty,
        Self::LengthOverflow,
        Self::LengthsDiffer,
        Self::LengthList,
        Self::LengthTwice,
        Self::LengthTooLong,
        Self::LengthTooShort,
        Self::LengthTooShortKept,
        Self::LengthNameWithControl,
        Self::LengthNameWithBlank,
        Self::CodingMisspelt,
        Self::CodingEmpty,
        Self::CodingIdentity,
        Self::CodingAfterChunked,
        Self::CodingLineAfterChunked,
        Self::CodingBeforeChunked,
        Self::ChunkedTwice,
        Self::ChunkedWithLength,
        Self::CodingMisspeltWithLength,
        Self::ChunkedInHttp10,
        Self::Compressed,
        Self::ChunkSizeSpoilt,
        Self::ChunkSizeOverflow,
        Self::ChunkSizeZero,
        Self::ChunkUnterminated,
        Self::LastChunkMissing,
        Self::LineWithoutColon,
        Self::LineOfBytes,
        Self::LineWithoutName,
        Self::LineFolded,
        Self::LineWithReturn,
        Self::NameWithBlank,
        Self::NameEndsWithBlank,
        Self::NameWithTab,
        Self::NameWithZero,
        Self::NameWithControl,
        Self::NameWithDelete,
        Self::NameWithUmlaut,
        Self::ValueWithZero,
        Self::ValueWithControl,
        Self::StatusZero,
        Self::StatusBelowRange,
        Self::StatusAboveRange,
        Self::StatusTooShort,
        Self::StatusTooLong,
        Self::StatusWithLetter,
        Self::SwitchesProtocols,
        Self::NoContentWithLength,
        Self::NoContentWithCoding,
        Self::UnknownVersion,
        Self::HeadCutInStatus,
        Self::HeadCutInLine,
        Self::HeadCutInLength,
        Self::HeadCutAfterLine,
        Self::HeadCutInBlankLine,
    ];

    /// Returns whether the head alone shows that the answer is broken.
    pub fn is_in_head(self) -> bool {
        !matches!(
            self,
            Self::LengthTooLong
                | Self::LengthTooShort
                | Self::LengthTooShortKept
                | Self::ChunkSizeZero
                | Self::ChunkSizeSpoilt
                | Self::ChunkSizeOverflow
                | Self::ChunkUnterminated
                | Self::LastChunkMissing
        )
    }

    /// Returns whether the answer would be valid without the last bytes of its body.
    pub fn is_body_cut_short(self) -> bool {
        matches!(self, Self::LengthTooShort | Self::LengthTooShortKept)
    }

    /// Returns whether the server keeps the connection open after the answer.
    pub fn keeps_connection(self) -> bool {
        self == Self::LengthTooShortKept
    }

    /// Returns the bytes of an answer.
    ///
    /// `lines` are the header lines, each terminated by CRLF, without those that tell the
    /// length of the body.
    pub fn bytes(self, status: u16, lines: &str, body: &str) -> Vec<u8> {
        let parts = Parts { status, lines, body };
        let length = body.len();
        let whole = chunked(body);
        let (first, rest) =
            body.split_at(body.find("\n\n").map_or(length / 2, |end| end + 2));
        match self {
            Self::LengthWithLetter => parts.with_length(&format!("{length}x")),
            Self::LengthNegative => parts.with_length(&format!("-{length}")),
            Self::LengthWithSign => parts.with_length(&format!("+{length}")),
            Self::LengthInHex => parts.with_length(&format!("0x{length:x}")),
            Self::LengthEmpty => parts.with_length(""),
            Self::LengthOverflow => parts.with_length("18446744073709551617"),
            Self::LengthsDiffer => {
                parts.with_length(&format!("{length}\r\nContent-Length: {}", length + 1))
            }
            Self::LengthList => parts.with_length(&format!("{length}, {}", length + 1)),
            Self::LengthTwice => {
                parts.with_length(&format!("{length}\r\nContent-Length: {length}"))
            }
            Self::LengthTooLong => parts.with_length(&(length + 10).to_string()),
            Self::LengthTooShort | Self::LengthTooShortKept => {
                parts.with_length(&first.len().to_string())
            }
            Self::LengthNameWithControl => {
                parts.with_line(&format!("Content-Len\x01gth: {length}"))
            }
            Self::LengthNameWithBlank => {
                parts.with_line(&format!("Content-Length : {length}"))
            }
            Self::CodingMisspelt => parts.with_coding("chunkex", &whole),
            Self::CodingEmpty => parts.with_coding("", body),
            Self::CodingIdentity => parts.with_coding("identity", body),
            Self::CodingAfterChunked => parts.with_coding("chunked, gzip", &whole),
            Self::CodingLineAfterChunked => {
                parts.with_coding("chunked\r\nTransfer-Encoding: gzip", &whole)
            }
            Self::CodingBeforeChunked => parts.with_coding("gzip, chunked", &whole),
            Self::ChunkedTwice => parts.with_coding("chunked, chunked", &whole),
            Self::ChunkedWithLength => {
                let coding = format!("chunked\r\nContent-Length: {}", length + 2);
                parts.with_coding(&coding, &whole)
            }
            Self::CodingMisspeltWithLength => {
                let coding = format!("chunkex\r\nContent-Length: {length}");
                parts.with_coding(&coding, body)
            }
            Self::ChunkedInHttp10 => {
                parts.starting("HTTP/1.0", "Transfer-Encoding: chunked", whole.as_bytes())
            }
            Self::Compressed => {
                let lines = format!("Content-Encoding: gzip\r\nContent-Length: {length}");
                parts.with_line(&lines)
            }
            Self::ChunkSizeSpoilt => {
                parts.with_coding("chunked", &whole.replacen("\r\n", "g\r\n", 1))
            }
            Self::ChunkSizeOverflow => {
                let size = format!("1{}\r\n", "0".repeat(16));
                parts.with_coding("chunked", &format!("{size}{body}\r\n0\r\n\r\n"))
            }
            Self::ChunkSizeZero => {
                let size = first.len();
                let chunks = format!("{size:x}\r\n{first}\r\n0\r\n{rest}\r\n0\r\n\r\n");
                parts.with_coding("chunked", &chunks)
            }
            Self::ChunkUnterminated => {
                let size = format!("{:x}\r\n", length - 1);
                parts.with_coding("chunked", &format!("{size}{body}\r\n0\r\n\r\n"))
            }
            Self::LastChunkMissing => {
                parts.with_coding("chunked", &format!("{length:x}\r\n{body}\r\n"))
            }
            Self::LineWithoutColon => parts.with_broken_line(b"nonsense"),
            Self::LineOfBytes => parts.with_broken_line(b"\x16\x03\x01\xff\xfe\x00"),
            Self::LineWithoutName => parts.with_broken_line(b": filler"),
            Self::LineFolded => parts.with_broken_line(b"X-Filler: one\r\n two"),
            Self::LineWithReturn => parts.with_broken_line(b"X-Filler: one\rX-Other: 2"),
            Self::NameWithBlank => parts.with_broken_line(b"X Filler: one"),
            Self::NameEndsWithBlank => parts.with_broken_line(b"X-Filler : one"),
            Self::NameWithTab => parts.with_broken_line(b"X\tFiller: one"),
            Self::NameWithZero => parts.with_broken_line(b"X-Fil\x00ler: one"),
            Self::NameWithControl => parts.with_broken_line(b"X-Fil\x01ler: one"),
            Self::NameWithDelete => parts.with_broken_line(b"X-Fil\x7fler: one"),
            Self::NameWithUmlaut => parts.with_broken_line("X-Füller: one".as_bytes()),
            Self::ValueWithZero => parts.with_broken_line(b"X-Filler: o\x00ne"),
            Self::ValueWithControl => parts.with_broken_line(b"X-Filler: o\x01ne"),
            Self::StatusZero => parts.with_status("000"),
            Self::StatusBelowRange => parts.with_status("099"),
            Self::StatusAboveRange => parts.with_status("600"),
            Self::StatusTooShort => parts.with_status("20"),
            Self::StatusTooLong => parts.with_status("2000"),
            Self::StatusWithLetter => parts.with_status("2O0"),
            Self::SwitchesProtocols => parts.with_status("101"),
            Self::NoContentWithLength => parts.with_status("204"),
            Self::NoContentWithCoding => {
                let lines = format!("{}Transfer-Encoding: chunked", parts.lines);
                head_and_body("HTTP/1.1 204 Status", &lines, whole.as_bytes())
            }
            Self::UnknownVersion => {
                let length = format!("Content-Length: {length}");
                parts.starting("HTTP/4.2", &length, body.as_bytes())
            }
            Self::HeadCutInStatus => b"HTTP/1.1 2".to_vec(),
            Self::HeadCutInLine => parts.cut_head(lines.len() / 2 + 30),
            Self::HeadCutInLength => parts.cut_head(5),
            Self::HeadCutAfterLine => parts.cut_head(2),
            Self::HeadCutInBlankLine => parts.cut_head(1),
        }
    }
}

impl Parts<'_> {
    fn with_length(&self, length: &str) -> Vec<u8> {
        self.with_line(&format!("Content-Length: {length}"))
    }

    /// Returns the head of an answer without its last bytes; four of them end the head.
    fn cut_head(&self, missing: usize) -> Vec<u8> {
        let mut head = self.with_length(&self.body.len().to_string());
        head.truncate(head.len() - self.body.len() - missing);
        head
    }

    fn with_line(&self, line: &str) -> Vec<u8> {
        self.starting("HTTP/1.1", line, self.body.as_bytes())
    }

    fn with_coding(&self, coding: &str, body: &str) -> Vec<u8> {
        let line = format!("Transfer-Encoding: {coding}");
        self.starting("HTTP/1.1", &line, body.as_bytes())
    }

    /// Returns an answer of the right length with an additional line.
    fn with_broken_line(&self, line: &[u8]) -> Vec<u8> {
        let Self { status, lines, body } = self;
        let length = body.len();
        let start = format!("HTTP/1.1 {status} Status\r\n");
        let rest = format!("\r\n{lines}Content-Length: {length}\r\n\r\n{body}");
        [start.as_bytes(), line, rest.as_bytes()].concat()
    }

    fn with_status(&self, status: &str) -> Vec<u8> {
        let lines = format!("{}Content-Length: {}", self.lines, self.body.len());
        let start = format!("HTTP/1.1 {status} Status");
        head_and_body(&start, &lines, self.body.as_bytes())
    }

    fn starting(&self, version: &str, line: &str, body: &[u8]) -> Vec<u8> {
        let start = format!("{version} {} Status", self.status);
        head_and_body(&start, &format!("{}{line}", self.lines), body)
    }
}

fn head_and_body(start: &str, lines: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("{start}\r\n{lines}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

fn chunked(body: &str) -> String {
    format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len())
}

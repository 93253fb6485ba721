//! How the body of a response is delimited.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::header::CONTENT_ENCODING;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderValue;
use hyper::header::TRANSFER_ENCODING;
use thiserror::Error;

/// How the end of a body is recognized.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is no body.
    Empty,
    /// By its length.
    Length,
    /// By its last chunk.
    Chunked,
    /// By the end of the connection, which a crash of the server looks like.
    Connection,
}

/// Why a response is not one in HTTP/1.1, so that nothing it says counts.
#[derive(Debug, Copy, Clone, PartialEq, Eq, Error)]
pub enum InvalidResponse {
    /// The status is not one of a final response: 200 to 599.
    #[error("the status is not one from 200 to 599; check the server")]
    Status,
    /// The body has a transfer coding other than `chunked`, or several.
    #[error("the transfer coding is not `chunked`; check the server")]
    TransferCoding,
    /// The body has a length and a transfer coding.
    #[error("a length and a transfer coding are stated; check the server")]
    LengthBesideCoding,
    /// The length is not a number, or is stated twice.
    #[error("the length is not a single number; check the server")]
    Length,
    /// The status excludes a body, and one is announced.
    #[error("a body is announced that the status excludes; check the server")]
    BodyNotAllowed,
    /// The body is compressed or otherwise encoded, which was not requested.
    #[error("the body has a content coding; have the server send it without one")]
    ContentCoding,
}

/// Why a body could not be read to its end.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection failed, or the framing of the body is broken.
    #[error(transparent)]
    Connection(#[from] hyper::Error),
    /// Fields follow the last chunk, which no request asks for: the size of a chunk in the
    /// middle of the body may be broken.
    #[error("fields follow the body; have the server send it without them")]
    Trailers,
}

/// The body of a response, with its framing.
#[derive(Debug)]
pub struct FramedBody {
    incoming: Incoming,
    framing: BodyFraming,
}

impl BodyFraming {
    /// Determines how the body of the response to a request is delimited.
    ///
    /// RFC 9112 lets a client read a body of an unknown coding until the connection ends,
    /// without a way to tell whether it is complete. No coding besides `chunked` is ever
    /// requested, so others are errors.
    pub fn of(
        method: &Method,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Result<Self, InvalidResponse> {
        let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
        let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
        let coding = (codings.next(), codings.next());
        let length = (lengths.next(), lengths.next());
        match (coding, length) {
            _ if *method == Method::HEAD || status == StatusCode::NOT_MODIFIED => {
                Ok(Self::Empty)
            }
            ((None, _), (length, None))
                if status == StatusCode::NO_CONTENT && length.is_none_or(is_zero) =>
            {
                Ok(Self::Empty)
            }
            _ if status == StatusCode::NO_CONTENT => Err(InvalidResponse::BodyNotAllowed),
            ((None, _), (None, _)) => Ok(Self::Connection),
            ((None, _), (Some(length), None)) if is_number(length) => Ok(Self::Length),
            ((None, _), (Some(_), _)) => Err(InvalidResponse::Length),
            ((Some(_), _), (Some(_), _)) => Err(InvalidResponse::LengthBesideCoding),
            ((Some(coding), None), _)
                if coding.as_bytes().eq_ignore_ascii_case(b"chunked") =>
            {
                Ok(Self::Chunked)
            }
            ((Some(_), _), _) => Err(InvalidResponse::TransferCoding),
        }
    }

    /// Returns whether a complete body differs from one whose connection was closed early.
    pub fn is_delimited(self) -> bool {
        self != Self::Connection
    }
}

impl FramedBody {
    /// Checks the head of the response to a request, and returns the response with the
    /// framing of its body.
    pub fn check(
        method: &Method,
        response: Response<Incoming>,
    ) -> Result<Response<Self>, InvalidResponse> {
        let framing = BodyFraming::of(method, response.status(), response.headers())?;
        match response.status().as_u16() {
            200..600 if response.headers().contains_key(CONTENT_ENCODING) => {
                Err(InvalidResponse::ContentCoding)
            }
            200..600 => Ok(response.map(|incoming| Self { incoming, framing })),
            _ => Err(InvalidResponse::Status),
        }
    }

    /// Returns how the body is delimited.
    pub fn framing(&self) -> BodyFraming {
        self.framing
    }
}

impl Body for FramedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        Poll::Ready(frame.map(|frame| match frame {
            Ok(frame) if frame.is_trailers() => Err(BodyError::Trailers),
            frame => frame.map_err(BodyError::from),
        }))
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

fn is_zero(length: &HeaderValue) -> bool {
    length.as_bytes() == b"0"
}

fn is_number(length: &HeaderValue) -> bool {
    !length.is_empty() && length.as_bytes().iter().all(u8::is_ascii_digit)
}

//! Tests of the framing of bodies.

use bilberry_platform::BodyFraming;
use bilberry_platform::InvalidResponse;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

fn framing(
    method: Method,
    status: u16,
    lines: &[(&'static str, &'static str)],
) -> Result<BodyFraming, InvalidResponse> {
    let mut headers = HeaderMap::new();
    for (name, value) in lines {
        let name = HeaderName::from_static(name);
        headers.append(name, HeaderValue::from_static(value));
    }
    let status = StatusCode::from_u16(status).expect("the status is valid");
    BodyFraming::of(&method, status, &headers)
}

fn get(lines: &[(&'static str, &'static str)]) -> Result<BodyFraming, InvalidResponse> {
    framing(Method::GET, 200, lines)
}

#[test]
fn a_body_is_delimited_by_its_length_its_chunks_or_its_connection() {
    assert_eq!(get(&[("content-length", "14")]), Ok(BodyFraming::Length));
    assert_eq!(get(&[("transfer-encoding", "chunked")]), Ok(BodyFraming::Chunked));
    assert_eq!(get(&[("transfer-encoding", "Chunked")]), Ok(BodyFraming::Chunked));
    assert_eq!(get(&[]), Ok(BodyFraming::Connection));
    assert!(!BodyFraming::Connection.is_delimited());
    assert!(BodyFraming::Empty.is_delimited());
}

#[test]
fn a_response_without_a_body_may_state_a_length() {
    let length = [("content-length", "14")];
    assert_eq!(framing(Method::HEAD, 200, &length), Ok(BodyFraming::Empty));
    assert_eq!(framing(Method::GET, 304, &length), Ok(BodyFraming::Empty));
    assert_eq!(framing(Method::GET, 204, &[]), Ok(BodyFraming::Empty));
}

#[test]
fn a_length_is_a_single_number() {
    for length in ["", "1x", "-1", "+1", "0x1", "1, 1", "1 1", "1.0"] {
        let found = get(&[("content-length", length)]);
        assert_eq!(found, Err(InvalidResponse::Length), "{length}");
    }
    for second in ["1", "2"] {
        let found = get(&[("content-length", "1"), ("content-length", second)]);
        assert_eq!(found, Err(InvalidResponse::Length), "{second}");
    }
}

#[test]
fn chunked_is_the_only_transfer_coding() {
    for coding in ["", "chunkex", "identity", "gzip, chunked", "chunked, gzip"] {
        let found = get(&[("transfer-encoding", coding)]);
        assert_eq!(found, Err(InvalidResponse::TransferCoding), "{coding}");
    }
    let twice = [("transfer-encoding", "chunked"), ("transfer-encoding", "chunked")];
    assert_eq!(get(&twice), Err(InvalidResponse::TransferCoding));
}

#[test]
fn a_status_without_a_body_has_no_framing() {
    for line in [("content-length", "14"), ("transfer-encoding", "chunked")] {
        let found = framing(Method::GET, 204, &[line]);
        assert_eq!(found, Err(InvalidResponse::BodyNotAllowed), "{line:?}");
    }
    let empty = framing(Method::GET, 204, &[("content-length", "0")]);
    assert_eq!(empty, Ok(BodyFraming::Empty));
}

#[test]
fn no_length_stands_beside_a_transfer_coding() {
    for coding in ["chunked", "chunkex"] {
        let found = get(&[("transfer-encoding", coding), ("content-length", "14")]);
        assert_eq!(found, Err(InvalidResponse::LengthBesideCoding), "{coding}");
    }
}

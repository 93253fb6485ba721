//! Tests of frames that arrive broken.

use bilberry_wire::Body;
use bilberry_wire::Frame;
use bilberry_wire::FrameCodec;
use bilberry_wire::RunQuery;
use bytes::BytesMut;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

fn encoded() -> BytesMut {
    let query = RunQuery { attempt: "a-1".to_string() };
    let body = Some(Body::RunQuery(query));
    let mut bytes = BytesMut::new();
    let frame = Frame { call: 7, body, ..Frame::default() };
    FrameCodec::new().encode(frame, &mut bytes).expect("the frame is small");
    bytes
}

/// Guards against state that is read from a part of a frame.
#[test]
fn a_frame_that_is_cut_off_yields_nothing() {
    let whole = encoded();
    for length in 0..whole.len() {
        let mut part = BytesMut::from(&whole[..length]);
        let read = FrameCodec::new().decode(&mut part);
        assert!(matches!(read, Ok(None)), "{length} bytes: {read:?}");
        let ended = FrameCodec::new().decode_eof(&mut part);
        assert_eq!(ended.is_err(), length > 0, "{length} bytes: {ended:?}");
    }
}

/// Guards against memory for frames of any announced length, and frames of arbitrary bytes.
#[test]
fn a_frame_of_arbitrary_bytes_is_an_error() {
    let mut too_long = BytesMut::from(&[0xff; 16][..]);
    assert!(FrameCodec::new().decode(&mut too_long).is_err());
    let mut arbitrary = BytesMut::from(&[0, 0, 4, 0xff, 0xff, 0xff, 0xff][..]);
    assert!(FrameCodec::new().decode(&mut arbitrary).is_err());
}

//! How much is read before the head of a response is complete.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;
use std::task::ready;

use bilberry_platform::HeadLimit;
use bilberry_platform::HeadLimitedStream;
use tokio::io::AsyncRead;
use tokio::io::ReadBuf;

/// What may be read until other tasks have their turn.
const MAX_TURN_BYTES: usize = 16 * 1024;

/// What may be read in all.
const MAX_BYTES: usize = 512 * 1024;

/// Guards against threads that a head without end occupies until it is given up.
#[tokio::test]
async fn heads_without_end_let_other_tasks_run() {
    let mut stream = HeadLimitedStream::new(tokio::io::repeat(b'x'), HeadLimit::new());
    let mut bytes = 0;
    poll_fn(|cx| {
        let mut turn_bytes = 0;
        loop {
            let mut room = [0; 8 * 1024];
            let mut buffer = ReadBuf::new(&mut room);
            if ready!(Pin::new(&mut stream).poll_read(cx, &mut buffer)).is_err() {
                return Poll::Ready(());
            }
            turn_bytes += buffer.filled().len();
            bytes += buffer.filled().len();
            assert!(turn_bytes <= MAX_TURN_BYTES, "{turn_bytes} bytes in one go");
            assert!(bytes <= MAX_BYTES, "{bytes} bytes are not given up");
        }
    })
    .await;
    assert!(bytes > 0, "nothing is read");
}

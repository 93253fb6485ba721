//! The platform stand-in conforms to the contract of the object API.

use bilberry_platform::HttpPlatform;
use bilberry_platform::Platform;
use bilberry_tests::ChildProcess;

#[tokio::test]
async fn a_watch_from_an_empty_store_shows_the_first_object() {
    let standin = ChildProcess::start("bilberry-standin", vec!["platform".to_string()]);
    let platform = HttpPlatform::new(standin.address("address"), 1_000, 1_000);
    let empty = platform.list("nodes/").await.expect("it answers");
    platform.write("nodes/first", "value", 0).await.expect("it is absent");
    let news = platform.watch("nodes/", empty.position).await.expect("it answers");
    assert_eq!(news.objects.len(), 1);
}

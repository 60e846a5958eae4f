//! Requests that arrive shortly before their tokens are delayed instead of refused.

use std::time::{Duration, Instant};

use currantlb_lab::fleet::{Fleet, FleetSettings, describe};

/// Number of requests sent right after the start, when every bucket is empty.
const REQUESTS: usize = 40;

/// Workspace of the lab with a rate of 200 requests per second.
const WORKSPACE: &str = "kajang";

#[tokio::test(flavor = "multi_thread")]
async fn requests_right_after_the_start_wait_for_their_tokens() {
    let fleet = Fleet::start(FleetSettings::default()).await.unwrap();
    fleet.wait_until_ready().await.unwrap();
    let client = fleet.connect(0, WORKSPACE, "canopy-1").await.unwrap();
    let start = Instant::now();
    for number in 0..REQUESTS {
        let result = client.simple_query("SELECT count(*) FROM layer").await;
        assert!(
            result.is_ok(),
            "{number}: {}",
            describe(&result.unwrap_err())
        );
    }
    // The home of this database gets a third of the rate of 200 per second; no token transfer is
    // assumed.
    let without_transfer = Duration::from_secs_f64(REQUESTS as f64 / (200.0 / 3.0));
    assert!(
        start.elapsed() < without_transfer + Duration::from_secs(1),
        "{:?}",
        start.elapsed()
    );
}

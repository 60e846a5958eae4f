//! Requests that come a little before their tokens are paced, not refused.

use std::time::{Duration, Instant};

use currantlb_lab::fleet::{Fleet, FleetSettings, describe};

/// Requests right after the start, when every bucket is empty.
const REQUESTS: usize = 40;

/// Workspace of the lab whose rate is 200 a second.
const WORKSPACE: &str = "kajang";

#[tokio::test(flavor = "multi_thread")]
async fn requests_right_after_the_start_wait_for_their_tokens() {
    let fleet = Fleet::start(FleetSettings::default()).await.unwrap();
    fleet.ready().await.unwrap();
    let client = fleet.connect(0, WORKSPACE, "canopy-1").await.unwrap();
    let start = Instant::now();
    for number in 0..REQUESTS {
        let answer = client.simple_query("SELECT count(*) FROM layer").await;
        assert!(
            answer.is_ok(),
            "{number}: {}",
            describe(&answer.unwrap_err())
        );
    }
    // At 200 a second, a third of which arrives at this database's home, without any transfer.
    let slowest = Duration::from_secs_f64(REQUESTS as f64 / (200.0 / 3.0));
    assert!(
        start.elapsed() < slowest + Duration::from_secs(1),
        "{:?}",
        start.elapsed()
    );
}

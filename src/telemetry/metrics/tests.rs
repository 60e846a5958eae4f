use super::*;

#[test]
fn reads_requests_refusals_and_failover_gaps_are_rendered() {
    let database = DatabaseName::from("canopy-metrics-test");
    let workspace = WorkspaceName::from("council-metrics-test");
    metrics().count_read(&database, ServedBy::Replica);
    metrics().count_request(&workspace, RouteClass::Urgent, Duration::from_millis(3));
    metrics().count_refusal(&workspace, RefusalReason::Overloaded, true);
    metrics().record_failover_gap(&database, Duration::from_millis(300));

    let text = render();
    for name in [
        "currantlb_reads_total",
        "currantlb_requests_total",
        "currantlb_refusals_within_rate_total",
        "currantlb_failover_gap_seconds_bucket",
    ] {
        let line = text
            .lines()
            .find(|line| line.starts_with(name) && line.contains("metrics-test"));
        assert!(line.is_some(), "{name} is missing in\n{text}");
    }
}

use super::*;

/// Interval between two observations.
const TICK: Duration = Duration::from_millis(100);

/// Length of a run, in ticks.
const TICKS: usize = 6_000;

struct Case {
    name: &'static str,
    /// Whether the VM is overloaded in a tick.
    is_wanted: fn(usize) -> bool,
    /// Whether the VM can serve in a tick.
    can_serve: fn(usize) -> bool,
    /// Expected number of pauses within ten minutes.
    pauses: std::ops::RangeInclusive<usize>,
}

/// Guards against a VM that misses its duty to be ready, or reports in quick alternation.
#[test]
fn an_overloaded_vm_is_not_ready_for_at_most_a_tenth_of_any_minute() {
    let cases = [
        Case {
            name: "overloaded without end",
            is_wanted: |_| true,
            can_serve: |_| true,
            pauses: 8..=10,
        },
        Case {
            name: "overloaded in quick alternation",
            is_wanted: |tick| tick % 4 < 2,
            can_serve: |_| true,
            pauses: 8..=14,
        },
        Case {
            name: "not overloaded",
            is_wanted: |_| false,
            can_serve: |_| true,
            pauses: 0..=0,
        },
        Case {
            name: "not ready for other reasons already",
            is_wanted: |_| true,
            can_serve: |tick| tick % 600 >= 70,
            pauses: 0..=0,
        },
    ];
    for case in cases {
        let mut withdrawal = Withdrawal::default();
        let mut paused = Vec::new();
        for tick in 0..TICKS {
            let now = Timestamp::from_millis(1_000 + 100 * tick as u64);
            withdrawal.observe((case.is_wanted)(tick), (case.can_serve)(tick), now);
            paused.push(withdrawal.is_active());
        }
        let starts = paused.windows(2).filter(|pair| !pair[0] && pair[1]).count();
        assert!(case.pauses.contains(&starts), "{}: {starts}", case.name);
        let window = (WINDOW.as_millis() / TICK.as_millis()) as usize;
        let worst = paused
            .windows(window)
            .map(|ticks| ticks.iter().filter(|paused| **paused).count());
        assert!(worst.max().unwrap() <= window / 10, "{}", case.name);
        for end in 1..=TICKS {
            let total = paused[..end].iter().filter(|paused| **paused).count();
            assert!(total <= end / 10 + 50, "{}: {total} of {end}", case.name);
        }
        let shortest = paused
            .chunk_by(|a, b| a == b)
            .filter(|run| run[0])
            .map(<[bool]>::len);
        let min_ticks = (MIN_PAUSE.as_millis() / TICK.as_millis()) as usize;
        assert!(
            shortest.min().unwrap_or(min_ticks) >= min_ticks,
            "{}",
            case.name
        );
    }
}

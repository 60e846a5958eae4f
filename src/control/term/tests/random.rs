use proptest::prelude::*;

use super::fixture::{Service, at};
use super::*;

/// Random action on the group while the controller runs.
#[derive(Debug, Clone)]
enum Action {
    Run(u64),
    Disconnect(usize),
    Reconnect(usize),
    Save(u64),
    Service(Service),
    NewHome,
    PauseVm,
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        6 => (1..40_u64).prop_map(|ticks| Action::Run(ticks * 20)),
        3 => (0..3_usize).prop_map(Action::Disconnect),
        3 => (0..3_usize).prop_map(Action::Reconnect),
        4 => (0..3_u64).prop_map(Action::Save),
        1 => Just(Action::Service(Service::Up)),
        1 => Just(Action::Service(Service::Down)),
        1 => Just(Action::Service(Service::ResponsesLost)),
        1 => Just(Action::NewHome),
        1 => Just(Action::PauseVm),
    ]
}

impl Fixture {
    /// Writes on the primary and replicates the entry to at most `copies` reachable replicas of its
    /// term. Returns the position if the save was acknowledged.
    fn save(&mut self, copies: u64) -> Option<crate::position::LogPosition> {
        let primary = self.primary()?;
        let view = self.view();
        let term = view.term.clone()?;
        let source = self.instances.get(&primary)?;
        if !source.reachable || !source.report.is_primary || source.report.adopted != term {
            return None;
        }
        let position = source.report.last.position + 1;
        let last = crate::position::LogPosition { term, position };
        self.instances.get_mut(&primary)?.report.last = last.clone();
        let mut left = copies;
        for (name, fake) in &mut self.instances {
            let takes =
                *name != primary && fake.reachable && fake.report.adopted == last.term && left > 0;
            if takes {
                fake.report.last = last.clone();
                left -= 1;
            }
        }
        (left < copies).then_some(last)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Under any sequence of disconnections, pauses and changes of home: the newest primary holds
    /// every save that reached two instances, a term has at most one primary, and once all
    /// instances are reachable again a primary serves.
    #[test]
    fn acknowledged_saves_survive_random_faults(actions in prop::collection::vec(action(), 1..40)) {
        let mut fixture = Fixture::healthy();
        let mut acknowledged = at(1, 10);
        let mut epoch = 1;
        for action in actions {
            match action {
                Action::Run(millis) => fixture.run_ms(millis),
                Action::Disconnect(i) => fixture.instance(NAMES[i]).reachable = false,
                Action::Reconnect(i) => fixture.instance(NAMES[i]).reachable = true,
                Action::Save(copies) => {
                    if let Some(last) = fixture.save(copies) {
                        prop_assert!(last > acknowledged, "{last} after {acknowledged}");
                        acknowledged = last;
                    }
                }
                Action::Service(service) => fixture.service = service,
                Action::NewHome => {
                    epoch += 1;
                    fixture.lease(epoch, 3_600_000);
                }
                Action::PauseVm => fixture.now = fixture.now + Duration::from_secs(5),
            }
            let mut primaries = BTreeSet::new();
            for fake in fixture.instances.values().filter(|fake| fake.report.is_primary) {
                prop_assert!(primaries.insert(fake.report.adopted.clone()));
            }
            let newest = fixture.instances.values().filter(|fake| fake.report.is_primary);
            if let Some(newest) = newest.max_by_key(|fake| fake.report.adopted.clone()) {
                prop_assert!(newest.report.last >= acknowledged);
            }
            if let Some(low_water_mark) = &fixture.view().low_water_mark {
                prop_assert!(*low_water_mark >= at(1, 10));
            }
        }
        for name in NAMES {
            fixture.instance(name).reachable = true;
        }
        fixture.run_ms(10_000);
        let primary = fixture.primary();
        prop_assert!(primary.is_some());
        let report = fixture.instances[&primary.unwrap()].report.clone();
        prop_assert!(report.is_primary && report.last >= acknowledged);
    }
}

use proptest::prelude::*;

use super::fixture::{Service, at};
use super::*;

/// Something that happens to the group while the controller runs.
#[derive(Debug, Clone)]
enum Happening {
    Run(u64),
    Cut(usize),
    Heal(usize),
    Save(u64),
    Service(Service),
    NewHome,
    PauseVm,
}

fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        6 => (1..40_u64).prop_map(|ticks| Happening::Run(ticks * 20)),
        3 => (0..3_usize).prop_map(Happening::Cut),
        3 => (0..3_usize).prop_map(Happening::Heal),
        4 => (0..3_u64).prop_map(Happening::Save),
        1 => Just(Happening::Service(Service::Up)),
        1 => Just(Happening::Service(Service::Down)),
        1 => Just(Happening::Service(Service::AnswersLost)),
        1 => Just(Happening::NewHome),
        1 => Just(Happening::PauseVm),
    ]
}

impl Fixture {
    /// Writes on the primary, and replicates to those that can be reached and follow it; `copies`
    /// replicas take it at most. Returns whether the save was acknowledged.
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

    /// Whatever is cut, paused or handed over, the primary that is in force holds every save that
    /// stood on two instances, at most one instance is primary of a term, and once all is healed a
    /// primary serves again.
    #[test]
    fn keeps_acknowledged_saves(happenings in prop::collection::vec(happening(), 1..40)) {
        let mut fixture = Fixture::healthy();
        let mut acknowledged = at(1, 10);
        let mut epoch = 1;
        for happening in happenings {
            match happening {
                Happening::Run(millis) => fixture.run_ms(millis),
                Happening::Cut(i) => fixture.instance(NAMES[i]).reachable = false,
                Happening::Heal(i) => fixture.instance(NAMES[i]).reachable = true,
                Happening::Save(copies) => {
                    if let Some(last) = fixture.save(copies) {
                        prop_assert!(last > acknowledged, "{last} after {acknowledged}");
                        acknowledged = last;
                    }
                }
                Happening::Service(service) => fixture.service = service,
                Happening::NewHome => {
                    epoch += 1;
                    fixture.lease(epoch, 3_600_000);
                }
                Happening::PauseVm => fixture.now = fixture.now + Duration::from_secs(5),
            }
            let mut primaries = BTreeSet::new();
            for fake in fixture.instances.values().filter(|fake| fake.report.is_primary) {
                prop_assert!(primaries.insert(fake.report.adopted.clone()));
            }
            let newest = fixture.instances.values().filter(|fake| fake.report.is_primary);
            if let Some(newest) = newest.max_by_key(|fake| fake.report.adopted.clone()) {
                prop_assert!(newest.report.last >= acknowledged);
            }
            if let Some(floor) = &fixture.view().floor {
                prop_assert!(*floor >= at(1, 10));
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

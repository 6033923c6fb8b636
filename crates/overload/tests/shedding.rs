//! Division of an overloaded router's time among workspaces.

use {
    baobab_overload::{Arrival, Overload, Shedding},
    std::time::Duration,
};

const BEHIND: u32 = 1;
const SERVED: u32 = 2;

/// Counts a request at a router without delay.
fn count(shedding: &mut Shedding, workspace: u32, is_late: bool, served_fraction: f64) {
    let arrival = Arrival {
        workspace,
        is_late,
        is_owed: false,
        served_fraction,
    };
    shedding.refuses(arrival, &Overload::default(), true, 0.0);
}

/// Requests per update of a workspace, and what it is served of what it is owed.
struct Case {
    name: &'static str,
    shed_fraction: f64,
    demands: &'static [(u32, f64)],
    /// Bounds on the fraction taken of each workspace's requests.
    taken: &'static [(f64, f64)],
}

const CASES: &[Case] = &[
    Case {
        name: "nothing is refused by a router with time for all",
        shed_fraction: 0.0,
        demands: &[(90, 0.2), (10, 1.0)],
        taken: &[(1.0, 1.0), (1.0, 1.0)],
    },
    Case {
        name: "one workspace gets all the time",
        shed_fraction: 0.7,
        demands: &[(50, 1.0)],
        taken: &[(0.29, 0.31)],
    },
    Case {
        name: "a flood is refused before a small workspace",
        shed_fraction: 0.8,
        demands: &[(95, 1.0), (5, 1.0)],
        taken: &[(0.14, 0.17), (1.0, 1.0)],
    },
    Case {
        name: "also if the flood is behind what it is owed",
        shed_fraction: 0.8,
        demands: &[(95, 0.0), (5, 1.0)],
        taken: &[(0.14, 0.17), (1.0, 1.0)],
    },
    Case {
        name: "of two equal ones, the one that is behind gets twice as much",
        shed_fraction: 0.7,
        demands: &[(50, 0.5), (50, 1.0)],
        taken: &[(0.39, 0.41), (0.19, 0.21)],
    },
    Case {
        name: "of two equal ones beyond their share, both get as much",
        shed_fraction: 0.5,
        demands: &[(50, 1.4), (50, 1.0)],
        taken: &[(0.49, 0.51), (0.49, 0.51)],
    },
];

#[test]
fn time_is_divided_by_max_min_fairness() {
    for case in CASES {
        let mut shedding = Shedding::default();
        let mut taken = Vec::new();
        for _ in 0..50 {
            taken.clear();
            for (workspace, (requests, served_fraction)) in (0..).zip(case.demands) {
                for _ in 0..*requests {
                    count(&mut shedding, workspace, false, *served_fraction);
                }
                taken.push(shedding.taken_fraction(workspace));
            }
            shedding.update(case.shed_fraction);
        }
        for (fraction, (min, max)) in taken.iter().zip(case.taken) {
            assert!((*min..=*max).contains(fraction), "{}: {taken:?}", case.name);
        }
    }
}

#[test]
fn late_requests_of_a_workspace_take_its_time_and_not_that_of_others() {
    let mut shedding = Shedding::default();
    for _ in 0..50 {
        for _ in 0..20 {
            count(&mut shedding, BEHIND, false, 1.0);
            count(&mut shedding, SERVED, false, 1.0);
            count(&mut shedding, SERVED, true, 1.0);
        }
        shedding.update(0.5);
    }
    let taken = [BEHIND, SERVED].map(|workspace| shedding.taken_fraction(workspace));
    // Time for 20 + 20 / 2 + 20 / 2 requests: 20 for the first, 20 late ones of the second.
    assert!(taken[0] > 0.99 && taken[1] < 0.01, "{taken:?}");
}

#[test]
fn requests_of_a_workspace_that_gets_its_share_are_shed_first_and_none_without_delays() {
    let ms = Duration::from_millis;
    let mut overload = Overload::default();
    let mut shedding = Shedding::default();
    let mut shed_served_from = None;
    let mut taken = [1.0; 2];
    for step in 0..100 {
        overload.on_delay(ms(100), ms(step * 100));
        shedding.update(overload.shed_fraction());
        for _ in 0..10 {
            count(&mut shedding, SERVED, false, 1.2);
            count(&mut shedding, BEHIND, false, 0.5);
        }
        taken = [SERVED, BEHIND].map(|workspace| shedding.taken_fraction(workspace));
        let refused = taken.map(|fraction| 0.5 >= fraction);
        assert_ne!(refused, [false, true]);
        if refused == [true, false] {
            shed_served_from.get_or_insert(step);
        }
    }
    assert!(
        shed_served_from.is_some_and(|step| step < 10),
        "{shed_served_from:?}"
    );
    assert!(taken[1] < 0.5, "{taken:?}");
    for step in 100..200 {
        overload.on_delay(ms(0), ms(step * 100));
        shedding.update(overload.shed_fraction());
    }
    assert!(shedding.taken_fraction(SERVED) >= 1.0);
}

#[test]
fn a_workspace_without_requests_is_forgotten() {
    let mut shedding = Shedding::default();
    for _ in 0..50 {
        for _ in 0..20 {
            count(&mut shedding, SERVED, false, 1.0);
        }
        shedding.update(0.9);
    }
    assert!(shedding.taken_fraction(SERVED) < 0.2);
    for _ in 0..100 {
        shedding.update(0.9);
    }
    assert!(shedding.taken_fraction(SERVED) >= 1.0);
}

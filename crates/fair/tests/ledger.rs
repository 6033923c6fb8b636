//! Properties of the service counters and of the window of received sequence numbers.

use {
    baobab_fair::Ledger,
    baobab_unit::Window,
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    std::collections::BTreeSet,
};

fn config() -> Config {
    Config {
        cases: 500,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    }
}

#[derive(Debug, Clone)]
enum Merge {
    Tokens(u32, u32, u64),
    Lift(u32, u64),
}

fn merges() -> impl Strategy<Value = Vec<Merge>> {
    let one = prop_oneof![
        (0_u32..3, 0_u32..3, 0_u64..1000).prop_map(|(p, w, t)| Merge::Tokens(p, w, t)),
        (0_u32..3, 0_u64..1000).prop_map(|(w, t)| Merge::Lift(w, t)),
    ];
    prop::collection::vec(one, 0..40)
}

fn apply(ledger: &mut Ledger, merges: &[Merge]) {
    for merge in merges {
        let is_merged = match merge {
            Merge::Tokens(pool, workspace, total) => ledger.merge_tokens(*pool, *workspace, *total),
            Merge::Lift(workspace, lift) => ledger.merge_lift(*workspace, *lift),
        };
        assert!(is_merged);
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn merging_ignores_order_and_duplication(
        list in merges(),
        order in any::<prop::sample::Index>(),
    ) {
        let mut once = Ledger::default();
        apply(&mut once, &list);
        let mut shuffled = list.clone();
        if !shuffled.is_empty() {
            let rotation = order.index(shuffled.len());
            shuffled.rotate_left(rotation);
            shuffled.reverse();
        }
        shuffled.extend(list);
        let mut twice = Ledger::default();
        apply(&mut twice, &shuffled);
        prop_assert_eq!(once, twice);
    }

    #[test]
    fn a_level_is_the_sum_of_all_counters(list in merges()) {
        let mut ledger = Ledger::default();
        apply(&mut ledger, &list);
        for workspace in 0..3 {
            let tokens: u64 = (0..3).map(|pool| ledger.tokens(pool, workspace)).sum();
            prop_assert_eq!(ledger.level(workspace), tokens + ledger.lift(workspace));
        }
    }

    #[test]
    fn concurrent_lifts_count_once(tokens in 0_u64..1000, level in 0_u64..2000) {
        let mut one = Ledger::default();
        one.merge_tokens(1, 1, tokens);
        let mut other = one.clone();
        one.lift_to(1, level);
        other.lift_to(1, level);
        one.merge_lift(1, other.lift(1));
        prop_assert_eq!(one.level(1), level.max(tokens));
    }

    #[test]
    fn an_implausible_counter_is_refused(tokens in 0_u64..1000, jump in (1_u64 << 40) + 1..u64::MAX / 2) {
        let mut ledger = Ledger::default();
        ledger.merge_tokens(1, 1, tokens);
        prop_assert!(!ledger.merge_tokens(1, 1, tokens + jump));
        prop_assert!(!ledger.merge_lift(1, jump));
        prop_assert_eq!(ledger.level(1), tokens);
    }

    #[test]
    fn a_window_accepts_each_number_once(numbers in prop::collection::vec(1_u64..200, 0..100)) {
        let mut window = Window::default();
        let mut accepted = BTreeSet::new();
        for number in numbers {
            let is_old = window.highest > number + 64;
            let is_new = accepted.insert(number);
            prop_assert_eq!(window.accept(number), is_new && !is_old);
            prop_assert!(window.contains(number));
        }
    }
}

//! The hollow part of the scale run, without real daemons.

use onyxrock::interface::Micros;
use onyxrock_duties::Member;
use onyxrock_lab::report::Claim;
use onyxrock_lab::scale::cluster::{Cluster, Plan};
use onyxrock_lab::scale::links::{BETWEEN_REGIONS, Links, Node, WITHIN_REGION, WITHIN_ZONE};
use onyxrock_lab::scale::meter::Unpaid;
use onyxrock_lab::scale::placement::Region;
use onyxrock_lab::scale::play::{Outcome, Spans, play};
use onyxrock_lab::scale::room::{Needs, PROCESSES_MOST, check_room};

const IN_FORCE_MS_MOST: f64 = 10_000.0;
const BYTES_PER_S_MOST: f64 = 9_000.0;
const FREE: Unpaid = Unpaid { datagram_s: 0.0, idle_wake_s: 0.0, busy_wake_s: 0.0 };

fn seconds(n: u64) -> Micros {
    Micros(n * 1_000_000)
}

fn plan(members: u16, seed: u64, threads: usize) -> Plan {
    Plan { members, voters: 3, lease: seconds(3), listed: 20, seed, threads }
}

fn played(plan: Plan, prepare: impl FnOnce(&mut Cluster)) -> Outcome {
    let spans = Spans {
        settle_most: seconds(40),
        settle_least: seconds(30),
        steady: seconds(10),
        fault: seconds(12),
    };
    play(plan, &spans, &FREE, 0, prepare).expect("it is played")
}

fn in_force(outcome: &Outcome) -> Claim {
    Claim::at_most("change_in_force_worst_ms", outcome.change_worst_ms, IN_FORCE_MS_MOST, "ms")
}

fn bytes(outcome: &Outcome) -> Claim {
    Claim::at_most("control_bytes_per_s", outcome.bytes_per_s_worst, BYTES_PER_S_MOST, "bytes/s")
}

/// All of an outcome but the processor, memory and real time, which no seed decides.
fn decided_by_the_seed(outcome: Outcome) -> String {
    let outcome = Outcome {
        cpu_share_mean: 0.0,
        cpu_share_worst: 0.0,
        cpu_share_hollow_mean: 0.0,
        cpu_share_hollow_worst: 0.0,
        faults_cpu_share_worst: 0.0,
        start_cpu_s_mean: 0.0,
        mb_each: 0.0,
        wall_s: 0.0,
        ..outcome
    };
    serde_json::to_string(&outcome).expect("it can be written")
}

#[test]
fn every_change_is_in_force_everywhere_through_all_faults() {
    let outcome = played(plan(24, 7, 1), |_| {});
    assert!(outcome.settled_s.is_some(), "{outcome:?}");
    assert!(in_force(&outcome).held && bytes(&outcome).held, "{outcome:?}");
    assert_eq!(outcome.change_missing, 0);
    // Each of 24 takes all but what it may have missed while it was down.
    assert!(outcome.change_samples as usize > outcome.changes * 20, "{outcome:?}");
    assert!(outcome.lost > 0, "no fault took anything");
}

#[test]
fn the_claim_fails_where_nothing_reaches_one_forwarder() {
    let outcome = played(plan(24, 7, 1), |cluster| cluster.links.unreach(Member(11)));
    assert!(!in_force(&outcome).held, "{outcome:?}");
    assert_eq!(outcome.change_worst_at, 11);
    assert!(outcome.change_missing > 0 && outcome.settled_s.is_none());
}

/// One forwarder tells all others that the list stands, four times a lease.
#[test]
fn the_claim_on_bytes_fails_at_a_size_at_which_one_tells_all() {
    let outcome = played(plan(90, 7, 2), |_| {});
    assert!(!bytes(&outcome).held, "{outcome:?}");
    assert!(outcome.bytes_per_s_mean < BYTES_PER_S_MOST, "it is one forwarder, not all");
}

#[test]
fn a_seed_decides_all_that_is_on_the_virtual_clock() {
    let one = || decided_by_the_seed(played(plan(30, 7, 1), |_| {}));
    let first = one();
    assert_eq!(first, one());
    assert_eq!(first, decided_by_the_seed(played(plan(30, 7, 3), |_| {})), "whatever the number of threads");
    assert_ne!(first, decided_by_the_seed(played(plan(30, 8, 1), |_| {})));
}

#[test]
fn a_region_that_is_cut_off_is_reached_by_nobody_but_itself() {
    // Two zones of region 3 are 3 and 9; zone 4 is of another region.
    let (here, near, far) = (Member(3), Member(9), Member(4));
    let node = Node::Forwarder;
    let mut links = Links::default();
    let carried = |links: &mut Links, to| links.carry(node(here), to);
    assert_eq!(carried(&mut links, node(near)), Some(WITHIN_REGION));
    assert_eq!(carried(&mut links, node(far)), Some(BETWEEN_REGIONS));
    assert_eq!(carried(&mut links, node(Member(26))), Some(WITHIN_ZONE));
    links.partition(Region(3));
    assert_eq!(carried(&mut links, node(near)), Some(WITHIN_REGION));
    assert_eq!(carried(&mut links, node(far)), None);
    assert_eq!(carried(&mut links, Node::Discovery), None);
    assert_eq!((links.cut_off(here), links.cut_off(far), links.lost()), (true, false, 2));
    links.heal();
    assert_eq!(carried(&mut links, node(far)), Some(BETWEEN_REGIONS));
}

#[test]
fn what_does_not_fit_is_refused_in_one_line() {
    const GB: u64 = 1_000_000_000;
    let needs = Needs { forwarders: 1_000, daemons: 28, listed: 1_300_000 };
    assert_eq!(check_room(&needs, 24 * GB), Ok(()));
    let refused = check_room(&needs, GB).expect_err("half a gigabyte is too little");
    assert!(refused.contains("1000 hollow forwarders need") && !refused.contains('\n'), "{refused}");
    let many = Needs { daemons: PROCESSES_MOST + 1, ..needs };
    let refused = check_room(&many, 24 * GB).expect_err("so many processes are not allowed");
    assert!(refused.contains("processes") && !refused.contains('\n'), "{refused}");
}

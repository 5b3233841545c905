//! Tests of the scale experiment's hollow forwarders, without real daemons.

use onyxrock::interface::Micros;
use onyxrock_duties::Member;
use onyxrock_lab::report::Claim;
use onyxrock_lab::scale::cluster::{Cluster, Plan};
use onyxrock_lab::scale::links::{BETWEEN_REGIONS, Links, Node, WITHIN_REGION, WITHIN_ZONE};
use onyxrock_lab::scale::measurement::UnsimulatedCost;
use onyxrock_lab::scale::placement::Region;
use onyxrock_lab::scale::resource_check::{MAX_PROCESSES, ResourceNeeds, check_resources};
use onyxrock_lab::scale::scenario::{Outcome, ScenarioTimes, run_scenario};

const MAX_IN_FORCE_MS: f64 = 10_000.0;
const MAX_BYTES_PER_S: f64 = 9_000.0;
/// The processor costs that hollow forwarders do not have are left out: these tests do not judge processor
/// time.
const NO_COST: UnsimulatedCost = UnsimulatedCost { datagram_s: 0.0, idle_wake_s: 0.0, busy_wake_s: 0.0 };

fn seconds(count: u64) -> Micros {
    Micros(count * 1_000_000)
}

fn plan(members: u16, seed: u64, threads: usize) -> Plan {
    Plan { members, voters: 3, lease_duration: seconds(3), listed_endpoints: 20, seed, threads }
}

fn run(plan: Plan, prepare: impl FnOnce(&mut Cluster)) -> Outcome {
    let spans = ScenarioTimes {
        max_settle_time: seconds(40),
        min_settle_time: seconds(30),
        steady_time: seconds(10),
        time_after_fault: seconds(12),
    };
    run_scenario(plan, &spans, &NO_COST, 0, prepare).expect("the run succeeds")
}

fn in_force_claim(outcome: &Outcome) -> Claim {
    Claim::at_most("change_in_force_worst_ms", outcome.change_worst_ms, MAX_IN_FORCE_MS, "ms")
}

fn bytes_claim(outcome: &Outcome) -> Claim {
    Claim::at_most("control_bytes_per_s", outcome.bytes_per_s_worst, MAX_BYTES_PER_S, "bytes/s")
}

/// The part of an outcome that the seed determines: all but processor time, memory and real time.
fn seed_dependent_results(outcome: Outcome) -> String {
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
    serde_json::to_string(&outcome).expect("the outcome can be serialized")
}

#[test]
fn every_change_comes_into_force_at_every_forwarder_despite_faults() {
    let outcome = run(plan(24, 7, 1), |_| {});
    assert!(outcome.settled_s.is_some(), "{outcome:?}");
    assert!(in_force_claim(&outcome).held && bytes_claim(&outcome).held, "{outcome:?}");
    assert_eq!(outcome.change_missing, 0);
    // Each of the 24 forwarders adopts all changes except those that it may have missed while it was down.
    assert!(outcome.change_samples as usize > outcome.changes * 20, "{outcome:?}");
    assert!(outcome.lost > 0, "the faults lost no datagram");
}

#[test]
fn the_in_force_claim_fails_if_one_forwarder_receives_nothing() {
    let outcome = run(plan(24, 7, 1), |cluster| cluster.links.make_unreachable(Member(11)));
    assert!(!in_force_claim(&outcome).held, "{outcome:?}");
    assert_eq!(outcome.change_worst_at, 11);
    assert!(outcome.change_missing > 0 && outcome.settled_s.is_none());
}

/// The owner of the list duty sends the current generation to all others four times per lease, so that its
/// bytes grow with the size of the cluster.
#[test]
fn the_bytes_claim_fails_at_a_size_at_which_one_forwarder_sends_too_much() {
    let outcome = run(plan(90, 7, 2), |_| {});
    assert!(!bytes_claim(&outcome).held, "{outcome:?}");
    assert!(outcome.bytes_per_s_mean < MAX_BYTES_PER_S, "only one forwarder exceeds the limit");
}

#[test]
fn a_seed_determines_all_results_on_the_virtual_clock() {
    let run_once = || seed_dependent_results(run(plan(30, 7, 1), |_| {}));
    let first = run_once();
    assert_eq!(first, run_once());
    assert_eq!(
        first,
        seed_dependent_results(run(plan(30, 7, 3), |_| {})),
        "the number of threads must not matter"
    );
    assert_ne!(first, seed_dependent_results(run(plan(30, 8, 1), |_| {})));
}

#[test]
fn a_region_that_is_cut_off_can_be_reached_only_from_within() {
    // Two zones of region 3 are 3 and 9; zone 4 is of another region.
    let (cut_off_member, same_region, other_region) = (Member(3), Member(9), Member(4));
    let forwarder = Node::Forwarder;
    let mut links = Links::default();
    let delay = |links: &mut Links, to| links.delay(forwarder(cut_off_member), to);
    assert_eq!(delay(&mut links, forwarder(same_region)), Some(WITHIN_REGION));
    assert_eq!(delay(&mut links, forwarder(other_region)), Some(BETWEEN_REGIONS));
    assert_eq!(delay(&mut links, forwarder(Member(26))), Some(WITHIN_ZONE));
    links.partition(Region(3));
    assert_eq!(delay(&mut links, forwarder(same_region)), Some(WITHIN_REGION));
    assert_eq!(delay(&mut links, forwarder(other_region)), None);
    assert_eq!(delay(&mut links, Node::Discovery), None);
    assert_eq!(
        (links.is_cut_off(cut_off_member), links.is_cut_off(other_region), links.lost_count()),
        (true, false, 2)
    );
    links.heal();
    assert_eq!(delay(&mut links, forwarder(other_region)), Some(BETWEEN_REGIONS));
}

#[test]
fn an_experiment_that_exceeds_the_machine_is_rejected_with_one_line() {
    const GB: u64 = 1_000_000_000;
    let needs = ResourceNeeds { forwarders: 1_000, daemons: 28, listed_endpoints: 1_300_000 };
    assert_eq!(check_resources(&needs, 24 * GB), Ok(()));
    let error = check_resources(&needs, GB).expect_err("half a gigabyte is too little memory");
    assert!(error.contains("1000 hollow forwarders need") && !error.contains('\n'), "{error}");
    let too_many_daemons = ResourceNeeds { daemons: MAX_PROCESSES + 1, ..needs };
    let error =
        check_resources(&too_many_daemons, 24 * GB).expect_err("the number of processes exceeds the limit");
    assert!(error.contains("processes") && !error.contains('\n'), "{error}");
}

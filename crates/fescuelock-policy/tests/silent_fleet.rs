//! Silent engines in fleets of nodes, with the decisions before and after streams were kept until
//! another engine has begun to answer.

mod silence_fleet;

use silence_fleet::{Decision, FleetOptions, play};

const SEEDS: [u64; 3] = [1, 2, 3];

const DAY: FleetOptions = FleetOptions {
    nodes: 8,
    engines: 20,
    streams_per_engine: 8,
    silent: 2,
    silence_ms: 2_500,
    ratio: 0.1,
    has_disruptions: true,
    seed: 1,
};

const FLEETS: [FleetOptions; 4] = [
    DAY,
    FleetOptions { nodes: 67, engines: 60, ..DAY },
    FleetOptions { nodes: 195, engines: 120, ..DAY },
    FleetOptions { nodes: 330, engines: 260, ..DAY },
];

/// Streams were cut by a silence after which their engines would have gone on, more so while nodes
/// were killed, frozen, cut off and added.
#[test]
fn disrupted_fleet() {
    for fleet in FLEETS {
        for (silent, silence_ms) in
            [(fleet.engines / 10, 2_500), (fleet.engines, 2_500), (fleet.engines, 1_000)]
        {
            for seed in SEEDS {
                let options = FleetOptions { silent, silence_ms, seed, ..fleet };
                let before = play(options, Decision::DropFirst);
                let after = play(options, Decision::KeepFirst);
                println!(
                    "{} nodes, {silent} of {} engines silent for {silence_ms} ms, seed {seed}: cut \
                     {} then {}, second sends {} then {}, engines left out {} then {}, p99 of the \
                     next event {} then {} ms, of {} streams",
                    fleet.nodes,
                    fleet.engines,
                    before.cut,
                    after.cut,
                    before.second_sends,
                    after.second_sends,
                    before.engines_left_out,
                    after.engines_left_out,
                    before.next_event_p99_ms(),
                    after.next_event_p99_ms(),
                    before.affected,
                );
                assert_eq!(after.cut, 0);
                assert!(after.engines_left_out <= before.engines_left_out);
                assert!(after.next_event_p99_ms() <= before.next_event_p99_ms());
            }
        }
    }
}

fn undisrupted_silences() -> impl Iterator<Item = FleetOptions> {
    FLEETS.into_iter().flat_map(|fleet| {
        [fleet.engines / 10, fleet.engines].into_iter().flat_map(move |silent| {
            let day = FleetOptions { silent, has_disruptions: false, ..fleet };
            SEEDS.into_iter().map(move |seed| FleetOptions { seed, ..day })
        })
    })
}

/// Streams waited for a silent engine longer than its silence and a second send take.
#[test]
fn undisrupted_fleet() {
    for options in undisrupted_silences() {
        let after = play(options, Decision::KeepFirst);
        let p99_ms = after.next_event_p99_ms();
        assert!(after.cut == 0 && after.affected > 0, "{options:?}: {after:?}");
        assert!(p99_ms <= options.silence_ms + 600, "{options:?}: {p99_ms} ms");
    }
}

/// Nodes left out engines whose silence had ended, because no stream was left there to show it.
#[test]
fn engines_without_streams_left_out() {
    let mut left_out = 0;
    for options in undisrupted_silences() {
        let after = play(options, Decision::KeepFirst);
        println!("{options:?}: {} left out", after.engines_left_out);
        left_out += after.engines_left_out;
    }
    assert_eq!(left_out, 0);
}

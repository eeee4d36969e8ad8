//! Tests of the notes that are shipped as examples.

use findings::Findings;
use rstest::rstest;

use crate::{Front, Note, read};

const KOVACIC: &str = include_str!("../../../../examples/kovacic/note.json");
const OYO: &str = include_str!("../../../../examples/oyo/note.json");

/// Number of services of a front, targets per service, slots per target and connections per target.
type Size = (usize, usize, u32, u32);

#[rstest]
#[case::katalog(KOVACIC, "katalog", (20, 2, 2, 25))]
#[case::dealer_portal(KOVACIC, "dealer-portal", (30, 2, 2, 25))]
#[case::bay_terminal(KOVACIC, "bay-terminal", (1, 9, 4, 100))]
#[case::stock_ledger(KOVACIC, "stock-ledger", (1, 4, 4, 100))]
#[case::contract_desk(OYO, "contract-desk", (20, 2, 3, 30))]
#[case::sorting_shed(OYO, "sorting-shed", (30, 2, 3, 30))]
#[case::ledger_office(OYO, "ledger-office", (1, 13, 4, 40))]
#[case::buyer_portal(OYO, "buyer-portal", (1, 6, 4, 40))]
fn example_is_valid_and_has_expected_size(
    #[case] document: &str,
    #[case] name: &str,
    #[case] expected: Size,
) {
    let mut findings = Findings::default();
    let note = read(document, &mut findings);
    assert!(findings.is_empty(), "{findings}");
    let note = note.expect("a note without findings is returned");
    let mut fronts = note.fleet.fronts.iter();
    let front = fronts.find(|front| front.name == name);
    let sizes = sizes(&note, front.expect("the example has the front"));
    assert_eq!(sizes.len(), expected.0);
    let (_, targets_count, slots_count, connections_count) = expected;
    let expected = (targets_count, slots_count, connections_count);
    assert!(sizes.iter().all(|size| *size == expected), "{sizes:?}");
}

fn sizes(note: &Note, front: &Front) -> Vec<(usize, u32, u32)> {
    let names = &front.shard_maps[0].services;
    let services = note.fleet.services.iter();
    let services = services.filter(|service| names.contains(&service.name));
    let sizes = services.map(|service| {
        let first = &service.targets[0];
        (
            service.targets.len(),
            first.slots_count,
            first.connections_max_count,
        )
    });
    sizes.collect()
}

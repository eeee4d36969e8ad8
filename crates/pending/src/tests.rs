//! Numbers and acceptance of replies.

use std::{collections::HashMap, net::SocketAddr};

use proptest::{prelude::*, test_runner::RngSeed};

use crate::{Requests, Table, accept, new_requests, register, remove};

const TABLES: [Table; 5] = [
    Table::Relays,
    Table::Forwards,
    Table::Probes,
    Table::PermitQuestions,
    Table::PermitGrants,
];

fn address(port: u16) -> SocketAddr {
    ([10, 0, 0, 1], port).into()
}

#[test]
fn a_reply_is_accepted_from_the_instance_that_was_asked() {
    let mut requests = new_requests(7, Table::Relays);
    let number = register(&mut requests, address(1), "query");
    assert_eq!(accept(&requests, Some(address(1)), number), Some(&"query"));
    // A sender of an earlier version does not state its address.
    assert_eq!(accept(&requests, None, number), Some(&"query"));
    assert_eq!(accept(&requests, Some(address(2)), number), None);
    assert_eq!(remove(&mut requests, number), Some("query"));
    assert_eq!(accept(&requests, Some(address(1)), number), None);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(32),
        ..ProptestConfig::default()
    })]

    /// Guards against numbers that two processes, or two tables of a process, share.
    #[test]
    fn no_number_is_accepted_by_another_table_or_process(
        steps in prop::collection::vec((0_usize..10, any::<bool>()), 1..300),
    ) {
        let mut tables: Vec<Requests<usize>> = (1..=2)
            .flat_map(|seed| TABLES.map(|table| new_requests(seed, table)))
            .collect();
        let mut waiting: HashMap<u64, usize> = HashMap::new();
        let mut used = Vec::new();
        for (index, is_removed) in steps {
            let number = register(&mut tables[index], address(1), index);
            prop_assert!(!used.contains(&number));
            used.push(number);
            match is_removed {
                true => prop_assert_eq!(remove(&mut tables[index], number), Some(index)),
                false => prop_assert_eq!(waiting.insert(number, index), None),
            }
        }
        for number in used {
            for (index, table) in tables.iter().enumerate() {
                let expected = waiting.get(&number).filter(|&&owner| owner == index);
                prop_assert_eq!(accept(table, None, number), expected);
            }
        }
    }
}

//! Constructors of records and reads for the tests.

use std::time::{Duration, Instant};

use model::{
    Configuration, Destination, Effect, FrontEntry, Registration, ServiceEntry, StoreArea,
    StoreRead, StoreRecord,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    Catalog, Change, FailedRead, StoreAnswer, SyncState, on_read_failure, on_store_answer,
};

/// Watch time of tests in which it does not matter.
pub(crate) const WATCH_WAIT: Duration = Duration::from_secs(5);

/// Returns the registration of a target of service `shard-1` in zone `kranj`.
pub(crate) fn registration(port: u16) -> Registration {
    Registration {
        service: "shard-1".to_owned(),
        address: ([10, 0, 0, 1], port).into(),
        zone: "kranj".to_owned(),
        slots_count: 2,
        is_draining: false,
        cold_for: Duration::ZERO,
        born_ms: 1,
    }
}

/// Returns the record of a registered target.
pub(crate) fn target(id: &str, registration: Registration) -> StoreRecord {
    StoreRecord::Target {
        target_id: id.to_owned(),
        registration: Some(registration),
    }
}

/// Returns the record of a removed target.
pub(crate) fn removed(id: &str) -> StoreRecord {
    StoreRecord::TargetRemoved {
        target_id: id.to_owned(),
    }
}

/// Returns a configuration with one front that gathers the services.
pub(crate) fn configuration(version: u64, services: &[&str]) -> StoreRecord {
    let names = services.iter().map(|name| name.to_string());
    StoreRecord::Configuration(Configuration {
        organisations: Vec::new(),
        version,
        fronts: vec![FrontEntry {
            is_public: false,
            name: "search".to_owned(),
            host: "parts.example".to_owned(),
            prefix: "/search/".to_owned(),
            is_idempotent: true,
            timeout: Duration::from_millis(800),
            goal: Some(Duration::from_millis(150)),
            rank: 1,
            attempts_max_count: 2,
            destination: Destination::Gather {
                services: names.clone().collect(),
                records_count: 10,
                least_ratio: 0.89,
            },
        }],
        services: names
            .map(|name| ServiceEntry {
                name,
                connections_max_count: 26,
                cold_max_per_s: 0.0,
            })
            .collect(),
    })
}

/// Returns a watch with a wait of five seconds.
pub(crate) fn watch(area: StoreArea, after_revision: u64) -> StoreRead {
    StoreRead::Watch {
        area,
        era: 0,
        after_revision,
        wait: Duration::from_secs(5),
    }
}

/// Returns the read of one page of a list; `after` is the key that precedes the page.
pub(crate) fn list(area: StoreArea, after: Option<&str>) -> StoreRead {
    StoreRead::List {
        area,
        era: 0,
        after: after.map(str::to_owned),
    }
}

/// Applies a complete answer of the store and returns how the catalog changed.
pub(crate) fn apply_answer(
    sync: &mut SyncState,
    catalog: &mut Catalog,
    now: Instant,
    read: &StoreRead,
    records: &[StoreRecord],
    revision: u64,
    next_page: Option<&str>,
) -> Vec<Change> {
    let answer = StoreAnswer {
        read,
        era: read.era(),
        records,
        revision,
        is_behind: false,
        next_page,
    };
    on_store_answer(sync, catalog, now, &answer, &mut Vec::new())
}

/// Ends a read with a failure that states an era.
pub(crate) fn fail_read(
    sync: &mut SyncState,
    catalog: &mut Catalog,
    now: Instant,
    failed: &FailedRead<'_>,
    out: &mut Vec<Effect>,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    on_read_failure(sync, catalog, &mut rng, now, failed, out);
}

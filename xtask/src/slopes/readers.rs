//! How many instances read the platform.

use bytes::Bytes;

use crate::{
    fixtures,
    instance::{Platform, join_as},
    peers,
};

/// The quantities of [`by_instances`].
pub const QUANTITIES: &[&str] = &["readers_count", "reads_max_per_second_count"];

/// Instances that read the platform and the most reads they start, against all instances.
pub fn by_instances(instances_count: u32) -> Vec<f64> {
    let platform = Platform {
        note: fixtures::encoded(&fixtures::note(2, 1)),
        instances: Bytes::from(peers::list(instances_count)),
    };
    let readers = (0..instances_count).filter(|&number| {
        let mut settings = fixtures::settings();
        settings.instance.name = peers::name(number);
        settings.instance.zone = fixtures::zone_name(number);
        settings.listen.peers = peers::address(number);
        let instance = join_as(settings, platform.clone());
        instance.state.fleet.reading.is_reader
    });
    let readers_count = readers.count() as f64;
    let reads_max_count = f64::from(fleet::READS_PER_READER_MAX_PER_S);
    vec![readers_count, readers_count * reads_max_count]
}

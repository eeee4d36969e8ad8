//! Counts the instances that read the platform directly.

use bytes::Bytes;

use crate::{
    fixtures, peers,
    simulated_instance::{Platform, start_with_settings},
};

/// The quantities of [`by_instances`].
pub const QUANTITIES: &[&str] = &["readers_count", "reads_max_per_second_count"];

/// Returns the number of readers and the upper bound of the reads that they start, by number of
/// instances.
pub fn by_instances(instances_count: u32) -> Vec<f64> {
    let platform = Platform {
        note: fixtures::encode_note(&fixtures::note(2, 1)),
        instances: Bytes::from(peers::instance_list(instances_count)),
    };
    let readers = (0..instances_count).filter(|&index| {
        let mut settings = fixtures::settings();
        settings.instance.name = peers::name(index);
        settings.instance.zone = fixtures::zone_name(index);
        settings.listen.peers = peers::address(index);
        let instance = start_with_settings(settings, platform.clone());
        instance.state.fleet.platform_reads.is_reader
    });
    let readers_count = readers.count() as f64;
    let reads_max_count = f64::from(fleet::READS_PER_READER_MAX_PER_S);
    vec![readers_count, readers_count * reads_max_count]
}

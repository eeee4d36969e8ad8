//! Tests of sweeps and of the linear fit.

use std::collections::BTreeSet;

use crate::{
    plan,
    sweep::{Sweep, fit, run},
};

#[test]
fn fit_of_collinear_points_is_exact() {
    let fit = fit(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0), (8.0, 19.0)]);
    assert!((fit.gradient - 2.0).abs() < 1e-9);
    assert!((fit.intercept - 3.0).abs() < 1e-9);
    assert!(fit.residual_ratio < 1e-9);
}

#[test]
fn curvature_increases_the_residual() {
    let fit = fit(&[(1.0, 1.0), (2.0, 4.0), (4.0, 16.0), (8.0, 64.0)]);
    assert!(fit.residual_ratio > 0.1);
}

#[test]
fn sweep_yields_a_series_for_each_quantity() {
    let sweep = Sweep {
        name: "square",
        parameter: "side_mm",
        sizes: &[1, 2, 3, 4],
        quantities: &["perimeter_mm", "sides_count"],
        measure: |side| vec![f64::from(4 * side), 4.0],
    };
    let series = run(&sweep);
    assert_eq!(series.len(), 2);
    assert!((series[0].fit.gradient - 4.0).abs() < 1e-9);
    assert!(series[1].fit.gradient.abs() < 1e-9);
    assert_eq!(series[1].points[3], (4.0, 4.0));
}

#[test]
fn sweeps_have_unique_names_and_enough_sizes() {
    let sweeps = plan::sweeps();
    let names: BTreeSet<&str> = sweeps.iter().map(|sweep| sweep.name).collect();
    assert_eq!(names.len(), sweeps.len());
    for sweep in &sweeps {
        assert!(sweep.sizes.len() >= 4, "{} has too few sizes", sweep.name);
        assert!(
            sweep.sizes.is_sorted_by(|a, b| a < b),
            "sizes of {} are not ascending",
            sweep.name
        );
    }
}

use super::Level;

/// Guards against a single outlier that distorts the mean of a level.
#[test]
fn mean_is_robust_to_a_single_outlier() {
    let mut level = Level::default();
    for _ in 0..256 {
        level.observe(0.010);
    }

    level.observe(10.0);

    assert!(level.mean < 0.0102, "{}", level.mean);
}

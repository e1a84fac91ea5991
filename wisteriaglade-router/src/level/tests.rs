use super::Level;

/// Guards against a single outlier that distorts the mean of a level.
#[test]
fn one_slow_answer_hardly_moves_the_mean() {
    let mut level = Level::default();
    for _ in 0..256 {
        level.observe(0.010);
    }

    level.observe(10.0);

    assert!(level.mean < 0.0102, "{}", level.mean);
}

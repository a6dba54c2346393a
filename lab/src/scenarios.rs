//! The scenarios that ship.

/// Each by its name: the text of an experiment.
pub const SCENARIOS: [(&str, &str); 24] = [
    ("calm", include_str!("../scenarios/calm.toml")),
    ("flash-crowd", include_str!("../scenarios/flash-crowd.toml")),
    ("zone-lost", include_str!("../scenarios/zone-lost.toml")),
    ("rolling-deploy", include_str!("../scenarios/rolling-deploy.toml")),
    ("one-slow", include_str!("../scenarios/one-slow.toml")),
    ("all-slow", include_str!("../scenarios/all-slow.toml")),
    ("retry-storm", include_str!("../scenarios/retry-storm.toml")),
    ("registry-silent", include_str!("../scenarios/registry-silent.toml")),
    ("registry-behind", include_str!("../scenarios/registry-behind.toml")),
    ("forty-restarted", include_str!("../scenarios/forty-restarted.toml")),
    ("four-hundred-restarted", include_str!("../scenarios/four-hundred-restarted.toml")),
    ("unequal-nodes", include_str!("../scenarios/unequal-nodes.toml")),
    ("slow-balancers", include_str!("../scenarios/slow-balancers.toml")),
    ("hot-key", include_str!("../scenarios/hot-key.toml")),
    ("caller-gone-wild", include_str!("../scenarios/caller-gone-wild.toml")),
    ("gray-failure", include_str!("../scenarios/gray-failure.toml")),
    ("half-dead", include_str!("../scenarios/half-dead.toml")),
    ("empty-answers", include_str!("../scenarios/empty-answers.toml")),
    ("metastable", include_str!("../scenarios/metastable.toml")),
    ("quiet-hour", include_str!("../scenarios/quiet-hour.toml")),
    ("cut-one-way", include_str!("../scenarios/cut-one-way.toml")),
    ("lossy", include_str!("../scenarios/lossy.toml")),
    ("pauses", include_str!("../scenarios/pauses.toml")),
    ("swing", include_str!("../scenarios/swing.toml")),
];

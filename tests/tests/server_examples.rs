//! Tests of the files under `examples/` and of the settings table in `docs/`.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use pimentochute_server::settings::{Settings, check_settings, limit_groups};
use pimentochute_state::{ConfigPatch, PatchOperation};
use test_case::test_case;

fn root() -> PathBuf {
    let tests = Path::new(env!("CARGO_MANIFEST_DIR"));
    tests
        .parent()
        .expect("the root of the repository")
        .to_owned()
}

fn settings(fleet: &str) -> Settings {
    let path = root().join("examples").join(fleet).join("settings.json");
    let text = fs::read(&path).expect("example settings");
    check_settings(&text).unwrap_or_else(|error| panic!("{}: {error:?}", path.display()))
}

fn patches(fleet: &str) -> Vec<ConfigPatch> {
    let folder = root().join("examples").join(fleet).join("patches");
    let entries = fs::read_dir(folder).expect("example patches");
    let mut paths: Vec<PathBuf> = entries.map(|entry| entry.expect("entry").path()).collect();
    paths.sort();
    let read = |path: &PathBuf| {
        let text = fs::read(path).expect("example patch");
        serde_json::from_slice(&text).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
    };
    paths.iter().map(read).collect()
}

/// Guards against example settings that the checks reject.
#[test_case("lindqvist", 4, 9)]
#[test_case("cascade", 3, 8)]
fn example_settings_are_valid(fleet: &str, centres: usize, hosts: usize) {
    let settings = settings(fleet);
    assert_eq!(settings.data_centres.len(), centres);
    let entry_hosts = settings.data_centres.iter().map(|c| c.entry_hosts.len());
    assert_eq!(entry_hosts.sum::<usize>(), hosts);
}

/// Guards against example patches that are rejected when applied in order:
/// wrong base versions, repeated ids and teams that do not exist yet.
#[test_case("lindqvist")]
#[test_case("cascade")]
fn example_patches_build_on_each_other(fleet: &str) {
    let mut ids = BTreeSet::new();
    let mut teams = BTreeSet::new();
    let mut keys = BTreeSet::new();
    for (version, patch) in patches(fleet).into_iter().enumerate() {
        assert_eq!(patch.base_version.get(), version as u64, "{}", patch.id);
        assert!(ids.insert(patch.id.clone()), "{} twice", patch.id);
        for operation in patch.operations {
            match operation {
                PatchOperation::SetTeam { team, config } => {
                    assert!(config.share > 0);
                    teams.insert(team);
                }
                PatchOperation::GrantKey { key, config } => {
                    assert!(teams.contains(&config.team), "{key}");
                    assert!(keys.insert(key));
                }
                PatchOperation::SetQueue { queue, config } => {
                    assert!(!config.teams.is_empty(), "{queue}");
                    assert!(
                        config.teams.iter().all(|team| teams.contains(team)),
                        "{queue}"
                    );
                }
                PatchOperation::WithdrawKey { key } => assert!(keys.contains(&key), "{key}"),
                other => panic!("no example of {other:?} is expected"),
            }
        }
    }
    assert_eq!(teams.len(), 6);
}

/// Guards against a settings table that differs from the limits in the code.
#[test]
fn operators_page_lists_every_limit() {
    let page = fs::read_to_string(root().join("docs/operators.md")).expect("docs/operators.md");
    let rows = limit_groups().into_iter().flat_map(|(group, rows)| {
        rows.iter().map(move |row| {
            let (name, doc) = (row.name, row.doc.trim().trim_end_matches('.'));
            format!(
                "| `{group}.{name}` | {} | {} to {} | {doc} |",
                row.default, row.min, row.max
            )
        })
    });
    let missing: Vec<String> = rows.filter(|row| !page.contains(row)).collect();
    assert!(
        missing.is_empty(),
        "missing in docs/operators.md:\n{}",
        missing.join("\n")
    );
}

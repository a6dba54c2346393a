//! What each command prints and with which status it ends.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn sloeline(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sloeline"));
    command.args(arguments).env_remove("EDGE_CONFIG").output().expect("it runs")
}

fn root(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(path)
}

fn sample() -> String {
    root("deploy/sloeline.toml").to_str().expect("a path").to_owned()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn the_sample_configuration_is_good() {
    let checked = sloeline(&["check", &sample()]);
    assert!(checked.status.success(), "{}", text(&checked.stderr));
    assert_eq!(text(&checked.stderr), "");
}

#[test]
fn check_names_file_line_and_key_of_every_error() {
    let file = std::env::temp_dir().join(format!("sloeline-check-{}.toml", std::process::id()));
    let bad = std::fs::read_to_string(sample())
        .expect("the sample")
        .replace("effect = \"unsafe\"", "effect = \"safe\"");
    std::fs::write(&file, bad.clone() + "\n[colour]\n").expect("a file");
    let name = file.to_str().expect("a path");
    let checked = sloeline(&["check", name]);
    let (code, said) = (checked.status.code(), text(&checked.stderr));
    let _ = std::fs::remove_file(&file);
    assert_eq!(code, Some(1));
    let last = bad.lines().count() + 2;
    assert!(said.contains(&format!("{name}:{last}: error: colour: found an unknown key")), "{said}");
    assert!(said.contains("assert = [\"write-method-is-safe\"]"), "{said}");
    let missing = sloeline(&["check", "/nowhere/at/all.toml"]);
    assert!(missing.status.code() == Some(1) && text(&missing.stderr).contains("/nowhere/at/all.toml"));
    let run = sloeline(&["run", "--config", "/nowhere/at/all.toml"]);
    assert!(run.status.code() == Some(1) && text(&run.stderr).contains("/nowhere/at/all.toml"));
}

#[test]
fn route_says_which_route_a_request_takes_and_why_the_others_do_not() {
    let asked = |arguments: &[&str]| {
        let sample = sample();
        let mut all = vec!["route", &sample];
        all.extend(arguments);
        let answer = sloeline(&all);
        assert!(answer.status.success(), "{}", text(&answer.stderr));
        text(&answer.stdout)
    };
    let said = asked(&["POST", "http://portal.example/checks", "-H", "Req-Owner: acme"]);
    for line in [
        "forwarded as POST /checks",
        "route \"pay for a check\" (/checks)",
        "pool loket",
        "class paid-check: Unsafe, aim 1500 ms, deadline 4000 ms, worth 12",
        "not \"pull a file\": its path is /files/{id}",
        "not \"look at a check\": its path is /checks/{id}",
    ] {
        assert!(said.contains(line), "no {line:?} in\n{said}");
    }
    assert!(asked(&["PUT", "/files/7"]).contains("{id} = \"7\""));
    assert!(asked(&["DELETE", "/checks"]).contains("405: routes for this path take POST"));
    assert!(asked(&["GET", "/nowhere"]).contains("404: no route"));
    assert!(asked(&["GET", "/checks/%2e%2e/x"]).contains("400: the path holds . or .. as a segment"));
}

#[test]
fn the_demonstration_closes_its_account() {
    let demo = sloeline(&["demo", "--seconds", "4"]);
    let said = text(&demo.stdout);
    assert!(demo.status.success(), "{said}{}", text(&demo.stderr));
    for part in ["dies", "drains", "lost 0", "run twice 0", "the account closes"] {
        assert!(said.contains(part), "no {part:?} in\n{said}");
    }
}

/// The configuration itself says which keys each section knows.
#[test]
fn the_reference_page_names_every_key() {
    let page = std::fs::read_to_string(root("docs/CONFIGURATION.md")).expect("the page");
    let wrong = "zzzzzzzz = 1";
    let config = format!(
        "{wrong}\n[instance]\n{wrong}\n[limits]\n{wrong}\n[listener.l]\n{wrong}\n[class.c]\n{wrong}\n[tenant.t]\n{wrong}\n\
         [pool.p]\n{wrong}\nnodes = [{{ {wrong} }}]\n[pool.p.declined]\n{wrong}\n\
         [pool.p.doubt]\n{wrong}\n[announce]\n{wrong}\n\
         [pool.e]\nsource = [{{ etcd = [\"127.0.0.1:1\"], prefix = \"/a/\", {wrong} }}, {{ consul = [\"127.0.0.1:1\"], service = \"s\", {wrong} }}, \
         {{ xds = [\"127.0.0.1:1\"], cluster = \"c\", {wrong} }}, {{ dns = \"a\", port = 1, {wrong} }}, {{ file = \"a\", {wrong} }}]\n\
         [[route]]\n{wrong}\nsplit = [{{ {wrong} }}]\n"
    );
    let problems = sloeline_config::load(&config, 1024).expect_err("unknown keys");
    let known: Vec<_> = problems.iter().filter(|p| p.found == "an unknown key").collect();
    assert_eq!(known.len(), 18, "{known:#?}");
    let mut keys = 0;
    for problem in known {
        let names = problem.expected.strip_prefix("one of ").expect("a list of keys");
        for name in names.split(", ") {
            let named = [format!("`{name}`"), format!("`[{name}"), format!("`[[{name}")];
            assert!(named.iter().any(|n| page.contains(n)), "{}: no word on `{name}`", problem.key);
            keys += 1;
        }
    }
    assert!(keys > 60, "{keys}");
    for (assertion, _) in sloeline_config::model::ASSERTIONS {
        assert!(page.contains(&format!("`{assertion}`")), "no word on `{assertion}`");
    }
}

#[test]
fn lab_becomes_the_program_beside_it_or_says_where_it_is_not() {
    use std::os::unix::fs::PermissionsExt;
    let folder = std::env::temp_dir().join(format!("sloeline-lab-cli-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (program, beside) = (folder.join("sloeline"), folder.join("sloeline-lab"));
    std::fs::copy(env!("CARGO_BIN_EXE_sloeline"), &program).expect("a copy");
    let asked =
        || Command::new(&program).args(["lab", "run", "--seeds", "3", "--help"]).output().expect("it runs");
    let missing = asked();
    std::fs::write(&beside, "#!/bin/sh\necho \"$@\"\nexit 7\n").expect("a script");
    std::fs::set_permissions(&beside, std::fs::Permissions::from_mode(0o755)).expect("it may run");
    let found = asked();
    let _ = std::fs::remove_dir_all(&folder);
    assert_eq!(missing.status.code(), Some(1));
    assert!(text(&missing.stderr).contains(&format!("{}", beside.display())), "{}", text(&missing.stderr));
    assert_eq!((found.status.code(), text(&found.stdout).trim()), (Some(7), "run --seeds 3 --help"));
}

#[test]
fn operations_of_a_description_with_their_findings_for_people_and_tools() {
    let folder = std::env::temp_dir().join(format!("sloeline-operations-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("api.yaml");
    let api = "openapi: 3.0.3\npaths:\n  /checks:\n    get: {responses: {default: {}}}\n    post:\n      responses: {default: {}}\n\
                \x20     x-sloeline-time: 5s\n";
    std::fs::write(&file, api).expect("a file");
    let path = file.to_str().expect("a path");
    let good = sloeline(&["operations", path]);
    assert!(good.status.success(), "{}", text(&good.stdout));
    assert!(
        text(&good.stdout).contains("GET     /checks                      safe    by its method"),
        "{}",
        text(&good.stdout)
    );
    assert!(text(&good.stdout).contains("unsafe  nothing says otherwise"), "{}", text(&good.stdout));
    let slow = sloeline(&["operations", path, "--waits", "4s", "--json"]);
    let found: serde_json::Value = serde_json::from_slice(&slow.stdout).expect("JSON");
    assert_eq!(
        (slow.status.code(), &found[0]["code"], &found[0]["line"]),
        (Some(1), &"D016".into(), &6.into()),
        "{found}"
    );
    assert_eq!(
        sloeline(&["operations", path, "--waits", "4"]).status.code(),
        Some(2),
        "a span without a unit"
    );
    let _ = std::fs::remove_dir_all(folder);
}

/// The example folder: checked, explained, written back, and told to tools.
#[test]
fn an_example_is_routed_by_its_descriptions() {
    let config = root("deploy/described/sloeline.toml");
    let config = config.to_str().expect("a path");
    let said = |arguments: &[&str]| {
        let output = sloeline(arguments);
        assert!(output.status.success(), "{arguments:?}: {}", String::from_utf8_lossy(&output.stderr));
        String::from_utf8(output.stdout).expect("text")
    };
    assert!(said(&["check", config]).contains("no errors"));
    for (method, url, route) in [
        ("GET", "/v1/checks/7", "portal GET /v1/checks/{id}"),
        ("GET", "/v1/checks/latest", "portal GET /v1/checks/latest"),
        ("GET", "/v1/checks/latest/", "portal GET /v1/checks/latest"),
        ("POST", "/hooks/paid", "events POST /hooks/paid"),
    ] {
        let text = said(&["route", config, method, url, "-H", "webhook-id: 7"]);
        assert!(text.contains(route), "{method} {url}: {text}");
    }
    let described: serde_json::Value = serde_json::from_str(&said(&["describe", config])).expect("JSON");
    let order = &described["paths"]["/v1/checks"]["post"];
    assert_eq!(
        (&order["x-sloeline-effect"], &order["x-sloeline-window"]),
        (&"keyed".into(), &"30000ms".into())
    );
    assert!(order["responses"]["503"]["headers"]["Retry-After"].is_object(), "{order}");
    let portal = root("deploy/described/portal.yaml");
    let portal = portal.to_str().expect("a path");
    let sarif: serde_json::Value =
        serde_json::from_str(&said(&["operations", portal, "--form", "sarif"])).expect("JSON");
    let run = &sarif["runs"][0];
    assert_eq!((&sarif["version"], &run["tool"]["driver"]["name"]), (&"2.1.0".into(), &"sloeline".into()));
    let result = &run["results"][0];
    assert_eq!((&result["ruleId"], &result["suppressions"][0]["kind"]), (&"D010".into(), &"inSource".into()));
    assert!(result["locations"][0]["physicalLocation"]["region"]["startLine"].is_u64(), "{result}");
}

#[test]
fn completions_and_manual_pages_know_every_command() {
    let run = |arguments: &[&str]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_sloeline"));
        command.env_remove("EDGE_CONFIG").args(arguments).output().expect("it runs")
    };
    let bash = String::from_utf8(run(&["completions", "bash"]).stdout).expect("text");
    assert!(["ctl", "drain", "unlimit", "snapshot"].iter().all(|word| bash.contains(word)));
    let folder = std::env::temp_dir().join(format!("sloeline-man-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    assert!(run(&["man", folder.to_str().expect("text")]).status.success());
    let page = std::fs::read_to_string(folder.join("sloeline-ctl-limit.1")).expect("a page");
    assert!(page.contains("rate"), "{page}");
    std::fs::remove_dir_all(&folder).expect("it goes");
    assert!(!run(&["man", "/nowhere/at/all"]).status.success());
}

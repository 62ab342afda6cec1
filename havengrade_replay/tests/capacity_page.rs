//! The capacity page and the committed slopes and sizes agree.
#![allow(clippy::unwrap_used)]

use std::{fs, path::PathBuf};

use havengrade_replay::{
    capacity::{Sizes, tables},
    measure::Slopes,
};

fn docs(name: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../docs");
    fs::read_to_string(root.join(name)).unwrap()
}

#[test]
fn page_holds_the_tables_that_the_slopes_give() {
    let slopes: Slopes = toml::from_str(&docs("capacity/slopes.toml")).unwrap();
    let sizes: Vec<Sizes> = ["kilimo", "valle", "letter"]
        .iter()
        .map(|name| toml::from_str(&docs(&format!("capacity/{name}.toml"))).unwrap())
        .collect();
    let page = docs("CAPACITY.md");
    let tables = tables(&slopes, &sizes);
    assert!(page.ends_with(&tables), "run `havengrade-replay capacity` and put its tables at the end of the page");
}

#[test]
fn prediction_of_idle_fleets_is_close_to_what_was_measured() {
    let page = docs("CAPACITY.md");
    let check = page.split("### Check").nth(1).unwrap();
    let errors: Vec<i32> = check
        .lines()
        .skip_while(|line| !line.starts_with("|--"))
        .skip(1)
        .take_while(|line| line.starts_with('|'))
        .map(|line| line.trim_end_matches("% |").rsplit(' ').next().unwrap().parse().unwrap())
        .collect();
    assert!(errors.len() >= 6 && errors.iter().all(|error| error.abs() <= 25), "{errors:?}");
}

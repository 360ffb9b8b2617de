use super::*;
use test_case::test_case;

#[test_case(Weather::default(), 1 => 1000 ; "fair")]
#[test_case(Weather { cut: true, ..Weather::default() }, 1 => 0 ; "cut")]
#[test_case(Weather { lose: 100, ..Weather::default() }, 1 => 0 ; "all lost")]
#[test_case(Weather { repeat: 100, ..Weather::default() }, 1 => 2000 ; "all twice")]
fn datagrams_fare_as_the_weather_says(weather: Weather, seed: u64) -> usize {
    let sky = Sky::new(seed);
    sky.set(weather);
    (0..1000).map(|_| sky.fates().len()).sum()
}

/// The same seed, the same fates: a run can be played again.
#[test]
fn chance_is_the_seed_s() {
    let play = |seed| {
        let sky = Sky::new(seed);
        sky.set(Weather {
            lose: 30,
            repeat: 10,
            reorder: 10,
            jitter: Duration::from_millis(9),
            ..Weather::default()
        });
        (0..200).map(|_| sky.fates()).collect::<Vec<_>>()
    };
    assert!(play(4) == play(4) && play(4) != play(5));
}

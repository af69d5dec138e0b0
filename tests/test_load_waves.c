/* A load of urgent work that comes in waves.
 *
 * Pattern: what urgent jobs hold rises and falls by a quarter or more within
 * some ten seconds, beside lower work that takes all that it may.
 * Aim: an urgent job within what lately ran starts within 0.25 s, so that it
 * must not wait until others have been stopped.  Room that is kept when a
 * crest arrives has to be what the last one held. */
#include "test_main.h"

#include <math.h>

#include "curlewcart/cw_headroom.h"
#include "curlewcart/cw_time.h"

enum {
    MEAN = 1000, /* accelerators that urgent work holds */
    STEP_MS = 100,
    WAVES = 6
};

struct wave {
    unsigned period_ms;
    double swing; /* of the mean */
};

static double
held_at(const struct wave *wave, unsigned at_ms)
{
    return MEAN *
           (1 + wave->swing * sin(2 * G_PI * at_ms / (double)wave->period_ms));
}

/* Steps, after the first wave, in which less is kept than the wave holds a
 * tenth of its period later: urgent jobs of that time wait for stops. */
static unsigned
steps_short(const struct wave *wave, const struct cw_headroom_ops *ops)
{
    struct cw_headroom headroom = {0};
    struct timespec start = cw_time_from_ms(100000);
    unsigned ahead_ms = wave->period_ms / 10;
    unsigned count = 0;

    cw_headroom_init(&headroom, ops, start);
    for (unsigned at_ms = 0; at_ms < WAVES * wave->period_ms; at_ms += STEP_MS)
    {
        cw_headroom_observe(&headroom, held_at(wave, at_ms),
                            cw_time_add_ms(start, at_ms));
        count +=
            at_ms >= wave->period_ms && cw_headroom_kept(&headroom) + 0.5 <
                                            held_at(wave, at_ms + ahead_ms);
    }
    return count;
}

static const struct wave waves[] = {
    {.period_ms = 11000, .swing = 0.27},
    {.period_ms = 11000, .swing = 0.15},
    {.period_ms = 6000, .swing = 0.5},
};

static void
test_room_for_the_next_crest_is_kept(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(waves); i++) {
        CU_ASSERT_EQUAL(steps_short(&waves[i], &cw_headroom_windowed), 0);
    }
}

/* The way that was replaced: it has forgotten the crest by then. */
static void
test_a_decaying_peak_falls_short_of_it(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(waves); i++) {
        CU_ASSERT_TRUE(steps_short(&waves[i], &cw_headroom_decaying) > 0);
    }
}

/* A peak that does not come again is not kept for longer than the window. */
static void
test_a_single_peak_is_forgotten(void)
{
    struct cw_headroom headroom = {0};
    struct timespec now = cw_time_from_ms(100000);

    cw_headroom_init(&headroom, &cw_headroom_windowed, now);
    cw_headroom_observe(&headroom, MEAN, now);
    for (unsigned s = 0; s < CW_HEADROOM_WINDOW_S - 1; s++) {
        now = cw_time_add_ms(now, 1000);
        cw_headroom_observe(&headroom, 10, now);
        CU_ASSERT_EQUAL(cw_headroom_kept(&headroom), MEAN);
    }
    now = cw_time_add_ms(now, 1000);
    cw_headroom_observe(&headroom, 10, now);
    CU_ASSERT_EQUAL(cw_headroom_kept(&headroom), 10);
}

/* An owner that was away for longer than the window begins anew. */
static void
test_a_gap_clears_the_window(void)
{
    struct cw_headroom headroom = {0};
    struct timespec now = cw_time_from_ms(100000);

    cw_headroom_init(&headroom, &cw_headroom_windowed, now);
    cw_headroom_observe(&headroom, MEAN, now);
    now = cw_time_add_ms(now, 60000);
    cw_headroom_observe(&headroom, 10, now);
    CU_ASSERT_EQUAL(cw_headroom_kept(&headroom), 10);
}

/* What has just been asked for counts before it holds anything. */
static void
test_arrivals_are_kept_room_for_until_they_are_over(void)
{
    struct cw_headroom headroom = {0};
    struct timespec now = cw_time_from_ms(100000);
    double kept;

    cw_headroom_init(&headroom, &cw_headroom_windowed, now);
    cw_headroom_arrived(&headroom, 400);
    cw_headroom_observe(&headroom, 0, now);
    kept = cw_headroom_kept(&headroom);
    CU_ASSERT_TRUE(kept > 0);
    now = cw_time_add_ms(now, 2000);
    cw_headroom_observe(&headroom, 0, now);
    CU_ASSERT_TRUE(cw_headroom_kept(&headroom) < kept);
    now = cw_time_add_ms(now, 10000);
    cw_headroom_observe(&headroom, 0, now);
    CU_ASSERT_EQUAL(cw_headroom_kept(&headroom), 0);
}

static const struct test tests[] = {
    {"next crest", test_room_for_the_next_crest_is_kept},
    {"decaying", test_a_decaying_peak_falls_short_of_it},
    {"single peak", test_a_single_peak_is_forgotten},
    {"gap", test_a_gap_clears_the_window},
    {"arrivals", test_arrivals_are_kept_room_for_until_they_are_over},
};

TEST_MAIN("load_waves", tests)

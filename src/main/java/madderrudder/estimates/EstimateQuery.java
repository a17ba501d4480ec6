package madderrudder.estimates;

/**
 * How long will a task like this take? {@code type} is that of its machine, or empty; {@code
 * ranMicros} is for how long it runs already; {@code share} is the part of such tasks that shall
 * take as long as the bounds say, between 0 and 1.
 */
public record EstimateQuery(
    TaskProfile profile, long guessMicros, String type, long ranMicros, double share) {}

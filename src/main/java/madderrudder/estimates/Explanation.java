package madderrudder.estimates;

import java.util.List;
import java.util.Locale;
import madderrudder.estimates.Estimate.Basis;

/** Formats the explanation of an estimate for operators. */
final class Explanation {
  private static final double MICROS_PER_SECOND = 1e6;

  private final Predictor predictor;
  private final IntervalCalibration calibration;
  private final MachineSpeeds machineSpeeds;

  Explanation(Predictor predictor, IntervalCalibration calibration, MachineSpeeds machineSpeeds) {
    this.predictor = predictor;
    this.calibration = calibration;
    this.machineSpeeds = machineSpeeds;
  }

  /** One line of text with the parts that {@link Estimator#explain} lists. */
  String describe(EstimateQuery query) {
    Basis basis = predictor.basis(query.profile(), query.ownerEstimateMicros());
    List<MixtureComponent> components =
        predictor.components(query.profile(), query.ownerEstimateMicros(), basis);
    StringBuilder text = new StringBuilder("by " + lowerCase(basis));
    components.forEach(component -> text.append(describeComponent(component)));
    text.append(describeInterval(query.profile(), components));
    text.append(describeMachineType(query.machineType()));
    return text.toString();
  }

  private static String describeComponent(MixtureComponent component) {
    return String.format(
        Locale.ROOT,
        "; %s: %d runs, weight %.2f, median %.3f s",
        lowerCase(component.level()),
        component.runs(),
        component.weight(),
        component.medianMicros() / MICROS_PER_SECOND);
  }

  private String describeInterval(TaskProfile profile, List<MixtureComponent> components) {
    return Prediction.of(components)
        .flatMap(prediction -> calibration.scores(profile, prediction))
        .map(scores -> "; interval calibrated on " + scores.count() + " similar predictions")
        .orElse("; interval not calibrated");
  }

  private String describeMachineType(String machineType) {
    double factor = machineSpeeds.typeFactor(machineType);
    if (factor == 1) {
      return "";
    }
    return String.format(
        Locale.ROOT, "; machines of type %s take %.2f times as long", machineType, factor);
  }

  private static String lowerCase(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }
}

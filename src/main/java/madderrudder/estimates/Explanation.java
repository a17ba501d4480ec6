package madderrudder.estimates;

import java.util.List;
import java.util.Locale;
import madderrudder.estimates.Estimate.Basis;

/** Puts into words why an estimate is what it is. */
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

  String of(EstimateQuery query) {
    Basis basis = predictor.basis(query.profile(), query.ownerEstimateMicros());
    List<MixtureComponent> components =
        predictor.components(query.profile(), query.ownerEstimateMicros(), basis);
    StringBuilder text = new StringBuilder("by " + lowerCase(basis));
    components.forEach(component -> text.append(ofComponent(component)));
    text.append(ofInterval(query.profile(), components));
    text.append(ofMachineType(query.machineType()));
    return text.toString();
  }

  private static String ofComponent(MixtureComponent component) {
    return String.format(
        Locale.ROOT,
        "; %s: %d runs, weight %.2f, median %.3f s",
        lowerCase(component.level()),
        component.runs(),
        component.weight(),
        component.medianMicros() / MICROS_PER_SECOND);
  }

  private String ofInterval(TaskProfile profile, List<MixtureComponent> components) {
    return Prediction.of(components)
        .flatMap(prediction -> calibration.scores(profile, prediction))
        .map(scores -> "; bounds as " + scores.count() + " such estimates held")
        .orElse("; bounds as it is spread");
  }

  private String ofMachineType(String machineType) {
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

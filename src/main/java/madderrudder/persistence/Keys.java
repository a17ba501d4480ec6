package madderrudder.persistence;

import madderrudder.protocol.MalformedMessageException;

/** Where things are kept in the store. */
public final class Keys {
  /** Attached to the leader's hold; exists only while somebody leads. */
  public static final String LEAD = "lead/now";

  public static final String LEAD_PREFIX = "lead/";

  /** The term, and a count raised by each leader commit, which is conditioned on it. */
  public static final String TERM = "helm";

  public static final String LIVE = "l/";
  public static final String FINISHED = "f/";
  public static final String PROGRESS = "p/";

  /** The pages of the leader's log: machines, and what may be on them. */
  public static final String PAGES = "s/";

  public static final String RENTALS = "r/";

  /** What is known of run times. */
  public static final String RUN_TIMES = "e/";

  public static final String BUDGET = "budget";

  /** Which machines were there before the first rental. */
  public static final String OWNED = "owned";

  /** The machine types as the cloud last gave them. */
  public static final String CATALOG = "catalog";

  private Keys() {}

  public static String live(String job) {
    return LIVE + job;
  }

  public static String finished(String job) {
    return FINISHED + job;
  }

  public static String progress(String job, int chunk) {
    return PROGRESS + job + "/" + chunk;
  }

  public static String page(int slot) {
    return PAGES + slot;
  }

  public static int slot(String page) throws MalformedMessageException {
    try {
      return Integer.parseInt(page.substring(PAGES.length()));
    } catch (NumberFormatException e) {
      throw new MalformedMessageException("not a page: " + page);
    }
  }

  public static String runTimes(int page) {
    return RUN_TIMES + page;
  }

  public static String rental(String request) {
    return RENTALS + request;
  }
}

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** What all cases share: arguments (root, record file), a time limit, and the exit code. */
final class CaseRun implements AutoCloseable {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int COULD_NOT_RUN = 2;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path root;
    final Path folder;
    final StandIn.Recorder recorder;
    StandIn.Controllers controllers;

    interface Body {
        int run(CaseRun run) throws Exception;
    }

    static final class CannotRun extends Exception {
        CannotRun(String reason) {
            super(reason);
        }
    }

    private CaseRun(Path root, Path record) throws Exception {
        this.root = root;
        this.folder = Files.createTempDirectory("review");
        this.recorder = new StandIn.Recorder(record);
    }

    static void main(String[] arguments, Body body) throws Exception {
        int code = COULD_NOT_RUN;
        try (CaseRun run = new CaseRun(Path.of(arguments[0]), Path.of(arguments[1]))) {
            run.limitTime(117);
            run.recorder.log("TROUBLE=%d", run.trouble ? 1 : 0);
            code = run.guarded(body);
            run.recorder.log("exit code %d", code);
        } catch (Exception failure) {
            // Java would exit with 1, which says that the rule was broken.
            failure.printStackTrace();
            code = COULD_NOT_RUN;
        }
        Runtime.getRuntime().halt(code);
    }

    private int guarded(Body body) {
        try {
            return body.run(this);
        } catch (CannotRun cannot) {
            recorder.log("the case could not run: %s", cannot.getMessage());
            System.err.println("could not run: " + cannot.getMessage());
            if (controllers != null) {
                controllers.recordLogs("");
            }
        } catch (Exception failure) {
            recorder.log("the case could not run: %s", failure);
            failure.printStackTrace();
        }
        return COULD_NOT_RUN;
    }

    private void limitTime(double seconds) {
        Thread watchdog =
                new Thread(
                        () -> {
                            StandIn.sleep(seconds);
                            recorder.log("the case took too long; exit code 2");
                            close();
                            Runtime.getRuntime().halt(COULD_NOT_RUN);
                        });
        watchdog.setDaemon(true);
        watchdog.start();
    }

    @Override
    public void close() {
        if (controllers != null) {
            controllers.close();
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (java.io.IOException unreadable) {
            System.err.println("temporary folder not removed: " + folder);
        }
    }
}

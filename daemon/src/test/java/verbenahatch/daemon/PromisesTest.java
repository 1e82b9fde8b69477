package verbenahatch.daemon;

import static io.cucumber.junit.platform.engine.Constants.GLUE_PROPERTY_NAME;
import static io.cucumber.junit.platform.engine.Constants.PLUGIN_PROPERTY_NAME;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/**
 * Runs the scenarios of {@code promises.feature}, the guarantees to operators, with hosts, targets
 * and the platform on loopback.
 */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("features")
@ConfigurationParameter(key = GLUE_PROPERTY_NAME, value = "verbenahatch.daemon")
@ConfigurationParameter(key = PLUGIN_PROPERTY_NAME, value = "summary")
class PromisesTest {}

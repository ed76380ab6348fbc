/** Creates a report on a fleet as a page with plots. */
package io.yuccaswitch.command.report;

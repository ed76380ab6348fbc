/**
 * Reads settings from folders of JSON files with comments. The files are merged in the order of their names and
 * validated together.
 */
package io.yuccaswitch.settings;

/**
 * Reading of settings: folders of JSON files with comments, merged in the order of their names and checked as a whole.
 */
package io.yuccaswitch.settings;

export default {
  paths: ["features/*.feature"],
  import: ["target/test/features/steps/*.js"],
  format: ["summary"],
  strict: true,
};
